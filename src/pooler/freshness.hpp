#pragma once

#include <deque>
#include <optional>

#include "base/time.hpp"
#include "control/names.hpp"

namespace tamarindshift {

// Places that the primary's log had reached when it was asked: each covers every commit acknowledged before.
class Freshness {
 public:
  static constexpr Duration spacing = 20ms;
  static constexpr Duration kept = 10s;

  void note(Instant askedAt, LogPosition place);
  std::optional<LogPosition> covering(Instant since) const;
  std::optional<Instant> newest() const;

 private:
  struct Sample {
    Instant askedAt;
    LogPosition place;
  };
  std::deque<Sample> samples_;
};

}  // namespace tamarindshift

#pragma once

#include <deque>
#include <optional>

#include "base/time.hpp"
#include "control/names.hpp"

namespace tamarindshift {

// Places that the primary's log had reached when it was asked: each covers every commit acknowledged before.
class PrimaryPositionHistory {
 public:
  static constexpr Duration minInterval = 20ms;
  static constexpr Duration retention = 10s;

  void record(Instant askedAt, Place logPosition);
  std::optional<Place> covering(Instant since) const;
  std::optional<Instant> newest() const;

 private:
  struct Sample {
    Instant askedAt;
    Place logPosition;
  };
  std::deque<Sample> samples_;
};

}  // namespace tamarindshift

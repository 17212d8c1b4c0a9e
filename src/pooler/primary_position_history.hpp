/// Recent log positions of a primary, from which bounded-staleness reads at replicas derive the position they need.
#pragma once

#include <deque>
#include <optional>

#include "base/time.hpp"
#include "control/names.hpp"

namespace tamarindshift {

/// Each position comes from a reply to a statement sent at `askedAt`, so it covers every commit acknowledged before then.
class PrimaryPositionHistory {
 public:
  /// Between two samples.
  static constexpr Duration minInterval = 20ms;
  static constexpr Duration retention = 10s;

  void record(Instant askedAt, LogPosition logPosition);
  /// The oldest recorded position that covers all commits acknowledged before `since`; nothing if no sample is as recent.
  std::optional<LogPosition> covering(Instant since) const;
  std::optional<Instant> newest() const;

 private:
  struct Sample {
    Instant askedAt;
    LogPosition logPosition;
  };
  std::deque<Sample> samples_;
};

}  // namespace tamarindshift

/// The steps in which a node stops, by the time since it was told to.
#pragma once

#include "base/clock.hpp"
#include "pooler/pooler_settings.hpp"

namespace tamarindshift {

class DrainSchedule {
 public:
  /// Reads the settings at each call.
  DrainSchedule(Clock& clock, const PoolerSettings& settings) : clock_(clock), settings_(settings) {}

  /// Repeated calls do nothing.
  void begin();
  bool begun() const { return begunAt_.has_value(); }
  /// Whether idle sessions are closed and new ones refused.
  bool closing() const { return reached(settings_.drainServingTime); }
  /// Whether open transactions had their time: from now on none of their statements is sent.
  bool transactionsOver() const { return reached(settings_.timings.stopTransactions); }
  /// Whether statements that still run are given up on, so that their clients get an answer before the process exits.
  bool answersDue() const;
  /// Whether the process must exit, whatever is open.
  bool over() const;

 private:
  bool reached(Duration step) const { return begunAt_ && clock_.now() - *begunAt_ > step; }

  Clock& clock_;
  const PoolerSettings& settings_;
  std::optional<Instant> begunAt_;
};

}  // namespace tamarindshift

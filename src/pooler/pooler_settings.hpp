#pragma once

#include "base/address.hpp"
#include "base/timings.hpp"

namespace tamarindshift {

struct PoolerSettings {
  Address node;
  Zone zone;
  Timings timings;
  std::size_t maxSessions = 20000;
  std::size_t maxWaiting = 2000;
  Duration suspicionTimeout = 300ms;
  Duration minAttemptTimeout = 250ms;
  Duration plannedChangeGrace = 250ms;
  Duration routeWaitTimeout = 1s;
  Duration cutOffAfter = 400ms;
  /// Work is held as usual for a lease that lapsed no longer ago than this.
  Duration lapseTolerance = 500ms;
  /// After that a statement is held for this percentage of its bound only, so that all tries of a client together stay
  /// far from its deadline.
  int lapsedWaitPercent = 15;
  Duration drainServingTime = 2200ms;
};

}  // namespace tamarindshift

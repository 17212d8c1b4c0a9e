#pragma once

#include "base/address.hpp"
#include "base/timings.hpp"

namespace tamarindshift {

struct PoolerSettings {
  Address node;
  Zone zone;
  Timings timings;
  std::size_t sessions = 20000;
  std::size_t waiting = 2000;
  Duration suspicion = 300ms;
  Duration leastPatience = 250ms;
  Duration plannedFinish = 250ms;
  Duration setupPatience = 1s;
  Duration lapsePatience = 400ms;
  /// Work is held as usual for a lease that lapsed no longer ago than this.
  Duration lapseHold = 500ms;
  /// After that a statement is held for this percentage of its bound only, so that all tries of a client together stay
  /// far from its deadline.
  int lapsedHoldPercent = 15;
  Duration drainServes = 2200ms;
};

}  // namespace tamarindshift

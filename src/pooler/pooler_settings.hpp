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
  /// Work is held for a lease that lapsed no longer ago than this; after that it is refused at once.
  Duration lapseHold = 1s;
  Duration drainServes = 2200ms;
};

}  // namespace tamarindshift

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
  Duration drainServes = 2200ms;
};

}  // namespace tamarindshift

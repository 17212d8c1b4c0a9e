#pragma once

#include "base/timings.hpp"
#include "simulated/standin_callers.hpp"

namespace tamarindshift {

struct FleetShape {
  std::size_t replicas = 3;
  std::size_t machines = 4;
  std::size_t zones = 3;
  std::size_t services = 1;
  std::size_t databases = 3;
  std::size_t beatTargets = 9;
  std::uint32_t cap = 60;
  std::uint32_t connections = 50;
  Duration work = 2ms;
  Duration diskSync = 3ms;
  Duration opens{};
  bool discovered = false;
  std::uint32_t syncReplicas = 1;
  Timings timings;
  std::vector<CallerKind> callers;
};

}  // namespace tamarindshift

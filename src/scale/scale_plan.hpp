#pragma once

#include "scale/scale_addresses.hpp"
#include "simulated/standin_plan.hpp"

namespace tamarindshift {

inline std::string scalePlan(const ScaleAddresses& addresses, std::uint64_t mark) {
  StandinPlanChoice choice{mark};
  for (std::size_t index = 0; index < addresses.shape.nodes; ++index)
    choice.labelOfMachine[addresses.agent(index).get()] = addresses.shape.zone(index).get();
  return standinPlan(addresses.shape.fleet(), addresses.databases(), choice);
}

}  // namespace tamarindshift

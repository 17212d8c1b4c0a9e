#include "control/plan.hpp"

#include <algorithm>

namespace tamarindshift {

std::uint32_t Plan::weightOf(const Address& machine) const {
  auto labels = machines.find(machine);
  std::uint32_t weight = 1;
  if (labels == machines.end()) return weight;
  for (const auto& label : labels->second)
    if (auto found = weights.find(label); found != weights.end()) weight = std::max(weight, found->second);
  return weight;
}

}  // namespace tamarindshift

#include "control/ration_allocation.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace tamarindshift {

std::optional<Ration> allocateRation(std::uint32_t budget, const DemandsByNode& demands, const NodeWeights& weights, const Ration& before) {
  std::map<std::uint32_t, std::uint64_t> sums;
  for (const auto& [node, orders] : demands)
    for (const auto& [order, amount] : orders)
      if (amount > 0) sums[order] += amount;
  if (sums.empty()) return std::nullopt;
  Ration ration;
  ration.freeThrough = sums.begin()->first;
  std::uint64_t givenUnits = 0;
  std::uint64_t budgetUnits = std::uint64_t{budget} * demandUnitsPerConnection;
  bool allFits = true;
  for (const auto& [order, amount] : sums) {
    if (order != ration.freeThrough && givenUnits + amount > budgetUnits) {
      allFits = false;
      break;
    }
    givenUnits += amount;
    ration.freeThrough = order;
  }
  if (allFits) return std::nullopt;
  std::map<Address, std::uint32_t> wanted;
  for (const auto& [node, orders] : demands)
    for (auto each = orders.upper_bound(ration.freeThrough); each != orders.end(); ++each)
      if (each->second > 0) wanted[node] += each->second;
  for (auto& [node, amount] : wanted) amount = (amount + demandUnitsPerConnection - 1) / demandUnitsPerConnection;
  auto remaining = givenUnits < budgetUnits ? std::max<std::uint64_t>((budgetUnits - givenUnits) / demandUnitsPerConnection, 1) : 1;
  using Rank = std::tuple<std::uint64_t, bool, Address>;
  std::set<Rank> queue;
  auto enqueue = [&](const Address& node) {
    auto weight = weights.find(node);
    auto rank = std::uint64_t{ration.laterLimitAt(node)} * weightScale / (weight == weights.end() ? 1u : std::max(weight->second, 1u));
    if (ration.laterLimitAt(node) < wanted.at(node)) queue.emplace(rank, before.later.contains(node), node);
  };
  for (const auto& [node, amount] : wanted) enqueue(node);
  for (; remaining > 0 && !queue.empty(); --remaining) {
    auto node = std::get<Address>(queue.extract(queue.begin()).value());
    ++ration.later[node];
    enqueue(node);
  }
  return ration;
}

}  // namespace tamarindshift

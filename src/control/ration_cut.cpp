#include "control/ration_cut.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace tamarindshift {

std::optional<Ration> cutRation(std::uint32_t budget, const NodeDemands& demands, const Weights& weights, const Ration& before) {
  std::map<std::uint32_t, std::uint64_t> sums;
  for (const auto& [node, orders] : demands)
    for (const auto& [order, amount] : orders)
      if (amount > 0) sums[order] += amount;
  if (sums.empty()) return std::nullopt;
  Ration ration;
  ration.freeThrough = sums.begin()->first;
  std::uint64_t given = 0;
  std::uint64_t most = std::uint64_t{budget} * demandUnit;
  bool allFits = true;
  for (const auto& [order, amount] : sums) {
    if (order != ration.freeThrough && given + amount > most) {
      allFits = false;
      break;
    }
    given += amount;
    ration.freeThrough = order;
  }
  if (allFits) return std::nullopt;
  std::map<Address, std::uint32_t> wanted;
  for (const auto& [node, orders] : demands)
    for (auto each = orders.upper_bound(ration.freeThrough); each != orders.end(); ++each)
      if (each->second > 0) wanted[node] += each->second;
  for (auto& [node, amount] : wanted) amount = (amount + demandUnit - 1) / demandUnit;
  auto left = given < most ? std::max<std::uint64_t>((most - given) / demandUnit, 1) : 1;
  using Rank = std::tuple<std::uint64_t, bool, Address>;
  std::set<Rank> inTurn;
  auto enter = [&](const Address& node) {
    auto weight = weights.find(node);
    auto rank = std::uint64_t{ration.laterAt(node)} * shareScale / (weight == weights.end() ? 1u : std::max(weight->second, 1u));
    if (ration.laterAt(node) < wanted.at(node)) inTurn.emplace(rank, before.later.contains(node), node);
  };
  for (const auto& [node, amount] : wanted) enter(node);
  for (; left > 0 && !inTurn.empty(); --left) {
    auto node = std::get<Address>(inTurn.extract(inTurn.begin()).value());
    ++ration.later[node];
    enter(node);
  }
  return ration;
}

}  // namespace tamarindshift

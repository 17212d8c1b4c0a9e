#include "control/share_cut.hpp"

#include <algorithm>
#include <set>

namespace tamarindshift {

namespace {

std::map<Address, std::uint32_t> cutBranch(const PlanBranch& branch, const std::map<Address, std::uint32_t>& wanted,
                                           const Weights& weights) {
  std::map<Address, std::uint32_t> given;
  if (wanted.empty()) return given;
  auto nodes = static_cast<std::uint32_t>(wanted.size());
  auto floor = std::min(std::max(branch.floor, 1u), branch.connections / nodes);
  auto left = branch.connections - floor * nodes;
  for (const auto& [node, want] : wanted) given[node] = floor;
  auto weight = [&](const Address& node) {
    auto found = weights.find(node);
    return found == weights.end() ? 1u : found->second;
  };
  using Place = std::pair<std::uint64_t, Address>;
  auto giveOut = [&](bool onlyHungry) {
    std::set<Place> order;
    auto hungry = [&](const Address& node) {
      return !onlyHungry || given.at(node) < wanted.at(node);
    };
    auto rank = [&](const Address& node) {
      return given.at(node) * shareScale / weight(node);
    };
    for (const auto& [node, amount] : given)
      if (hungry(node)) order.emplace(rank(node), node);
    while (left > 0 && !order.empty()) {
      auto node = order.extract(order.begin()).value().second;
      ++given[node];
      --left;
      if (hungry(node)) order.emplace(rank(node), node);
    }
  };
  giveOut(true);
  giveOut(false);
  return given;
}

}  // namespace

Grants cutShares(const PlanService& service, const Wanted& wanted, const Weights& weights) {
  Grants grants;
  for (const auto& [name, branch] : service.branches) {
    std::map<Address, std::uint32_t> wants;
    for (const auto& [node, branches] : wanted) {
      auto found = branches.find(name);
      wants[node] = found == branches.end() ? 0 : found->second;
    }
    for (const auto& [node, amount] : cutBranch(branch, wants, weights)) grants[node][name] = amount;
  }
  return grants;
}

PlanService without(PlanService service, const Grants& reserved) {
  for (const auto& [node, branches] : reserved)
    for (const auto& [name, amount] : branches)
      if (auto branch = service.branches.find(name); branch != service.branches.end())
        branch->second.connections -= std::min(amount, branch->second.connections);
  return service;
}

Grants lowered(const Grants& held, const Grants& target) {
  Grants lower;
  for (const auto& [node, branches] : held) {
    auto aim = target.find(node);
    if (aim == target.end()) continue;
    for (const auto& [branch, amount] : branches) {
      auto found = aim->second.find(branch);
      if (found != aim->second.end()) lower[node][branch] = std::min(amount, found->second);
    }
  }
  return lower;
}

}  // namespace tamarindshift

#include "control/share_allocation.hpp"

#include <algorithm>
#include <set>

namespace tamarindshift {

namespace {

std::map<Address, std::uint32_t> allocateBranch(const PlanBranch& branch, const std::map<Address, std::uint32_t>& wanted,
                                                const NodeWeights& weights) {
  std::map<Address, std::uint32_t> given;
  if (wanted.empty()) return given;
  auto nodes = static_cast<std::uint32_t>(wanted.size());
  auto floor = std::min(std::max(branch.floor, 1u), branch.connections / nodes);
  auto remaining = branch.connections - floor * nodes;
  for (const auto& [node, want] : wanted) given[node] = floor;
  auto weight = [&](const Address& node) {
    auto found = weights.find(node);
    return found == weights.end() ? 1u : found->second;
  };
  using RankedNode = std::pair<std::uint64_t, Address>;
  auto distribute = [&](bool onlyBelowWanted) {
    std::set<RankedNode> queue;
    auto eligible = [&](const Address& node) {
      return !onlyBelowWanted || given.at(node) < wanted.at(node);
    };
    auto rank = [&](const Address& node) {
      return given.at(node) * weightScale / weight(node);
    };
    for (const auto& [node, amount] : given)
      if (eligible(node)) queue.emplace(rank(node), node);
    while (remaining > 0 && !queue.empty()) {
      auto node = queue.extract(queue.begin()).value().second;
      ++given[node];
      --remaining;
      if (eligible(node)) queue.emplace(rank(node), node);
    }
  };
  distribute(true);
  distribute(false);
  return given;
}

}  // namespace

Grants allocateShares(const PlanService& service, const WantedShares& wanted, const NodeWeights& weights) {
  Grants grants;
  for (const auto& [name, branch] : service.branches) {
    std::map<Address, std::uint32_t> wants;
    for (const auto& [node, branches] : wanted) {
      auto found = branches.find(name);
      wants[node] = found == branches.end() ? 0 : found->second;
    }
    for (const auto& [node, amount] : allocateBranch(branch, wants, weights)) grants[node][name] = amount;
  }
  return grants;
}

PlanService withoutReserved(PlanService service, const Grants& reserved) {
  for (const auto& [node, branches] : reserved)
    for (const auto& [name, amount] : branches)
      if (auto branch = service.branches.find(name); branch != service.branches.end())
        branch->second.connections -= std::min(amount, branch->second.connections);
  return service;
}

Grants lowerGrants(const Grants& held, const Grants& target) {
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

#include "control/share_cut.hpp"

#include <algorithm>

namespace tamarindshift {

namespace {

std::map<Address, std::uint32_t> cutBranch(const PlanBranch& branch, const std::map<Address, std::uint32_t>& wanted) {
  std::map<Address, std::uint32_t> given;
  if (wanted.empty()) return given;
  auto nodes = static_cast<std::uint32_t>(wanted.size());
  std::uint32_t left = branch.connections;
  auto floor = std::min(std::max(branch.floor, 1u), left / nodes);
  for (const auto& [node, want] : wanted) {
    given[node] = floor;
    left -= floor;
  }
  for (bool moved = true; moved && left > 0;) {
    moved = false;
    std::vector<Address> hungry;
    for (const auto& [node, want] : wanted)
      if (given[node] < want) hungry.push_back(node);
    if (hungry.empty()) break;
    auto each = std::max<std::uint32_t>(1, left / static_cast<std::uint32_t>(hungry.size()));
    for (const auto& node : hungry) {
      auto more = std::min({each, wanted.at(node) - given[node], left});
      given[node] += more;
      left -= more;
      moved = moved || more > 0;
    }
  }
  auto spare = left / nodes;
  auto odd = left % nodes;
  for (auto& [node, amount] : given) {
    amount += spare;
    if (odd > 0) {
      ++amount;
      --odd;
    }
  }
  return given;
}

}  // namespace

Grants cutShares(const PlanService& service, const Wanted& wanted) {
  Grants grants;
  for (const auto& [name, branch] : service.branches) {
    std::map<Address, std::uint32_t> wants;
    for (const auto& [node, branches] : wanted) {
      auto found = branches.find(name);
      wants[node] = found == branches.end() ? 0 : found->second;
    }
    for (const auto& [node, amount] : cutBranch(branch, wants)) grants[node][name] = amount;
  }
  return grants;
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

#include "control/share_check.hpp"

namespace tamarindshift {

namespace {

using Held = std::map<BranchName, std::uint64_t>;

Held heldOf(const ServiceState& service) {
  Held held;
  for (const auto& [node, branches] : service.grants)
    for (const auto& [branch, amount] : branches) held[branch] += amount;
  for (const auto& [node, share] : service.reserved)
    for (const auto& [branch, amount] : share.connections) held[branch] += amount;
  return held;
}

}  // namespace

void checkSharesWithinBranches(Journal& journal, const ServiceName& name, const PlanService& planned, const ServiceState& service) {
  for (const auto& each : heldOf(service)) {
    const auto& branch = each.first;
    const auto amount = each.second;
    auto found = planned.branches.find(branch);
    // a branch that the configuration removed is given back, which takes a moment
    if (found == planned.branches.end()) continue;
    const auto cap = found->second.connections;
    journal.check(Invariant::sharesWithinBranch, amount <= cap, [&] {
      return std::to_string(amount) + " connections of branch " + branch.get() + " of " + name.get() + " are held, it has " +
             std::to_string(cap);
    });
  }
}

}  // namespace tamarindshift

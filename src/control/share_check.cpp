#include "control/share_check.hpp"

namespace tamarindshift {

namespace {

using HeldByBranch = std::map<BranchName, std::uint64_t>;

HeldByBranch heldByBranch(const ServiceState& service) {
  HeldByBranch held;
  for (const auto& [node, branches] : service.grants)
    for (const auto& [branch, amount] : branches) held[branch] += amount;
  for (const auto& [node, share] : service.reserved)
    for (const auto& [branch, amount] : share.connections) held[branch] += amount;
  return held;
}

}  // namespace

void checkSharesWithinBranches(Journal& journal, const ServiceName& name, const PlanService& planned, const ServiceState& service) {
  for (const auto& each : heldByBranch(service)) {
    const auto& branch = each.first;
    const auto amount = each.second;
    auto found = planned.branches.find(branch);
    // nodes release a branch that the configuration removed only after a moment
    if (found == planned.branches.end()) continue;
    const auto cap = found->second.connections;
    journal.check(Invariant::sharesWithinBranch, amount <= cap, [&] {
      return std::to_string(amount) + " connections of branch " + branch.get() + " of service " + name.get() +
             " are held, above its cap of " + std::to_string(cap);
    });
  }
}

}  // namespace tamarindshift

#include <algorithm>

#include "control/duties.hpp"
#include "control/share_check.hpp"
#include "control/share_allocation.hpp"

// Divides the connections of each service among the nodes and decides when a share may move to another node.

namespace tamarindshift {

void Duties::checkShares(const ServiceName& name, const ServiceState& service) {
  const auto* planned = state_.plannedService(name);
  // a newer configuration may have fewer connections than the one that the last change of shares was computed from
  if (planned && planUnchanged_) checkSharesWithinBranches(journal_, name, *planned, service);
}

std::uint64_t Duties::followedPosition(const ServiceName& name, const Address& node) const {
  const auto* known = reportOf(node);
  if (!known) return 0;
  auto own = known->report.services.find(name);
  return own == known->report.services.end() ? 0 : own->second.appliedPosition;
}

bool Duties::reservationExpired(const ServiceName& name, const Address& node) const {
  auto duty = serviceDuties_.find(name);
  if (duty == serviceDuties_.end()) return false;
  const auto& seen = duty->second.reservationsSeen;
  auto found = seen.find(node);
  return found != seen.end() && clock_.now() - found->second.second > timings_.shareHold();
}

// A node that holds nothing has nothing to release. It is waited for only so that nodes that start together all get shares.
bool Duties::newcomerWaitOver(const ServiceName& name) const {
  auto duty = serviceDuties_.find(name);
  return duty != serviceDuties_.end() && clock_.now() - duty->second.sharesVersionSeenAt > timings_.nodeSilence;
}

bool Duties::followsShares(const ServiceName& name, const ServiceState& service, const Address& node) const {
  if (followedPosition(name, node) >= service.sharesPosition) return true;
  if (!service.hasShares(node) && newcomerWaitOver(name)) return true;
  if (!silent(node)) return false;
  auto reserved = service.reserved.find(node);
  if (reserved == service.reserved.end()) return !service.hasShares(node);
  return followedPosition(name, node) >= reserved->second.basis || reservationExpired(name, node);
}

bool Duties::everyNodeFollowsShares(const ServiceName& name, const ServiceState& service) const {
  return std::all_of(state_.nodes().begin(), state_.nodes().end(), [&](const auto& each) {
    return followsShares(name, service, each.first);
  });
}

Grants Duties::reservedShares(const ServiceName& name, const ServiceState& service) {
  auto& seen = serviceDuties_[name].reservationsSeen;
  std::erase_if(seen, [&](const auto& each) {
    return !service.reserved.contains(each.first);
  });
  Grants reserved;
  for (const auto& [node, share] : service.reserved) {
    auto& [at, since] = seen[node];
    if (std::exchange(at, share.reservedAt) != share.reservedAt || !silent(node)) since = clock_.now();
    bool released = silent(node) ? reservationExpired(name, node) : followedPosition(name, node) >= share.reservedAt;
    if (!released) reserved[node] = share.connections;
  }
  for (const auto& [node, branches] : service.grants) {
    auto known = state_.nodes().find(node);
    bool leaves = known == state_.nodes().end() || known->second.draining || silent(node);
    if (!leaves) continue;
    auto& held = reserved[node];
    for (const auto& [branch, amount] : branches) held[branch] = std::max(held[branch], amount);
  }
  return reserved;
}

void Duties::recordLiveNodes() {
  std::vector<std::pair<Address, std::uint64_t>> liveNodes;
  for (const auto& [address, node] : state_.nodes())
    if (!node.draining && !silent(address)) liveNodes.emplace_back(address, node.boot);
  if (std::exchange(liveNodes_, liveNodes) != liveNodes) ++liveNodesRevision_;
}

Duties::SharesInputs Duties::sharesInputs(const ServiceName& name, const ServiceState& service) const {
  return SharesInputs{access_.shareInputsVersion(name), liveNodesRevision_, service.sharesPosition, state_.plan()->mark};
}

// A few connections of nodes that may come back stay with them until another node is short of connections.
bool Duties::canPostponeMove(const ServiceName& name, const ServiceState& service, const Grants& target) const {
  if (!service.reserved.empty()) return false;
  if (std::any_of(target.begin(), target.end(), [&](const auto& each) {
        return !service.grants.contains(each.first);
      }))
    return false;
  std::map<BranchName, std::uint64_t> affected;
  for (const auto& [node, branches] : service.grants) {
    if (target.contains(node)) continue;
    const auto* known = reportOf(node);
    if (branches.empty() || !state_.nodes().contains(node) || !known || clock_.now() - known->lastContact > timings_.nodeGone) return false;
    for (const auto& [branch, amount] : branches) affected[branch] += amount;
  }
  const auto& branches = state_.plan()->services.at(name).branches;
  return std::all_of(affected.begin(), affected.end(), [&](const auto& each) {
    return each.second * minorShareDivisor <= branches.at(each.first).connections;
  });
}

// Changes shares in two steps: first shares are lowered to the new division, and only once every node follows that are the
// others raised, so that no branch is exceeded in between.
Task<void> Duties::updateShares(ServiceName name) {
  if (!state_.services().contains(name)) co_return;
  const auto& service = state_.services().at(name);
  auto& duty = serviceDuties_[name];
  if (clock_.now() < duty.nextSharesAt && duty.sharesNodeCount == state_.nodes().size()) co_return;
  auto inputs = sharesInputs(name, service);
  if (service.reserved.empty() && duty.unchangedForInputs == inputs) co_return;
  if (sharesTimeSpent_ > timings_.dutyShares) {
    if (!sharesResumeAt_) sharesResumeAt_ = name;
    co_return;
  }
  auto began = clock_.now();
  duty.nextSharesAt = clock_.now() + 2 * timings_.duty;
  duty.sharesNodeCount = state_.nodes().size();
  WantedShares wanted;
  NodeWeights weights;
  for (const auto& [address, node] : state_.nodes()) {
    if (node.draining || silent(address)) continue;
    const auto* known = reportOf(address);
    if (!known) co_return;
    auto own = known->report.services.find(name);
    weights[address] = state_.plan()->weightOf(address);
    wanted[address] = own == known->report.services.end() ? std::map<BranchName, std::uint32_t>{} : own->second.connectionDemand;
  }
  auto reserved = reservedShares(name, service);
  Grants reservedBefore;
  for (const auto& [node, share] : service.reserved) reservedBefore[node] = share.connections;
  auto target = allocateShares(withoutReserved(state_.plan()->services.at(name), reserved), wanted, weights);
  sharesTimeSpent_ += clock_.now() - began;
  if (target == service.grants && reserved == reservedBefore) {
    duty.unchangedForInputs = inputs;
    co_return;
  }
  auto lower = lowerGrants(service.grants, target);
  for (const auto& [node, share] : service.reserved)
    if (!reserved.contains(node) && target.contains(node) && !lower.contains(node))
      lower[node] = lowerGrants({{node, share.connections}}, target)[node];
  if (lower != service.grants || reserved != reservedBefore) {
    bool nodesChanged = reserved != reservedBefore || target.size() != service.grants.size();
    bool urgent = nodesChanged && !canPostponeMove(name, service, target);
    for (const auto& [node, branches] : wanted)
      for (const auto& [branch, want] : branches) {
        auto held = service.grants.find(node);
        if (held == service.grants.end() || !held->second.contains(branch)) continue;
        urgent = urgent || (want > held->second.at(branch) && target[node][branch] > held->second.at(branch));
      }
    if (!urgent && reserved.empty()) duty.unchangedForInputs = inputs;
    bool tooEarly = clock_.now() - duty.sharesChangedAt < timings_.sharesPause;
    if (!urgent || (tooEarly && !(nodesChanged && everyNodeFollowsShares(name, service)))) co_return;
    duty.sharesChangedAt = clock_.now();
    SharesCommand update{name, service.sharesPosition, lower, reserved};
    co_await propose(ControlCommandType::shares, packed(update));
    co_return;
  }
  if (!everyNodeFollowsShares(name, service)) co_return;
  SharesCommand update{name, service.sharesPosition, target, reserved};
  co_await propose(ControlCommandType::shares, packed(update));
}

}  // namespace tamarindshift

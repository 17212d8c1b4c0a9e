#include <algorithm>

#include "control/duties.hpp"
#include "control/share_check.hpp"
#include "control/share_cut.hpp"

// How the connections of each service are divided among the nodes, and when a share may move.

namespace tamarindshift {

void Duties::checkShares(const ServiceName& name, const ServiceState& service) {
  const auto* planned = state_.plannedService(name);
  // a newer configuration may leave less than what the last move of shares was cut from
  if (planned && planSame_) checkSharesWithinBranches(journal_, name, *planned, service);
}

std::uint64_t Duties::followed(const ServiceName& name, const Address& node) const {
  const auto* known = heard(node);
  if (!known) return 0;
  auto own = known->report.services.find(name);
  return own == known->report.services.end() ? 0 : own->second.appliedPosition;
}

bool Duties::overdue(const ServiceName& name, const Address& node) const {
  auto duty = duties_.find(name);
  if (duty == duties_.end()) return false;
  const auto& seen = duty->second.reservedSeenAt;
  auto found = seen.find(node);
  return found != seen.end() && clock_.now() - found->second.second > timings_.shareHold();
}

// a node that holds nothing has nothing to release; it is waited for only so that all that start together get shares
bool Duties::newcomersWaitedFor(const ServiceName& name) const {
  auto duty = duties_.find(name);
  return duty != duties_.end() && clock_.now() - duty->second.sharesSeenAt > timings_.nodeSilence;
}

bool Duties::follows(const ServiceName& name, const ServiceState& service, const Address& node) const {
  if (followed(name, node) >= service.sharesPosition) return true;
  if (!service.hasShares(node) && newcomersWaitedFor(name)) return true;
  if (!silent(node)) return false;
  auto reserved = service.reserved.find(node);
  if (reserved == service.reserved.end()) return !service.hasShares(node);
  return followed(name, node) >= reserved->second.basis || overdue(name, node);
}

bool Duties::everyNodeFollows(const ServiceName& name, const ServiceState& service) const {
  return std::all_of(state_.nodes().begin(), state_.nodes().end(), [&](const auto& each) {
    return follows(name, service, each.first);
  });
}

Grants Duties::reserve(const ServiceName& name, const ServiceState& service) {
  auto& seen = duties_[name].reservedSeenAt;
  std::erase_if(seen, [&](const auto& each) {
    return !service.reserved.contains(each.first);
  });
  Grants reserved;
  for (const auto& [node, share] : service.reserved) {
    auto& [at, since] = seen[node];
    if (std::exchange(at, share.reservedAt) != share.reservedAt || !silent(node)) since = clock_.now();
    bool released = silent(node) ? overdue(name, node) : followed(name, node) >= share.reservedAt;
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

void Duties::noteLiving() {
  std::vector<std::pair<Address, std::uint64_t>> living;
  for (const auto& [address, node] : state_.nodes())
    if (!node.draining && !silent(address)) living.emplace_back(address, node.boot);
  if (std::exchange(living_, living) != living) ++livingChanges_;
}

Duties::SharesInputs Duties::sharesInputs(const ServiceName& name, const ServiceState& service) const {
  return SharesInputs{access_.shareInputsVersion(name), livingChanges_, service.sharesPosition, state_.plan()->mark};
}

// few connections of nodes that may come back stay with them until another node is short
bool Duties::canWait(const ServiceName& name, const ServiceState& service, const Grants& target) const {
  if (!service.reserved.empty()) return false;
  if (std::any_of(target.begin(), target.end(), [&](const auto& each) {
        return !service.grants.contains(each.first);
      }))
    return false;
  std::map<BranchName, std::uint64_t> away;
  for (const auto& [node, branches] : service.grants) {
    if (target.contains(node)) continue;
    const auto* known = heard(node);
    if (branches.empty() || !state_.nodes().contains(node) || !known || clock_.now() - known->lastContact > timings_.nodeGone) return false;
    for (const auto& [branch, amount] : branches) away[branch] += amount;
  }
  const auto& branches = state_.plan()->services.at(name).branches;
  return std::all_of(away.begin(), away.end(), [&](const auto& each) {
    return each.second * fewOfABranch <= branches.at(each.first).connections;
  });
}

Task<void> Duties::shares(ServiceName name) {
  if (!state_.services().contains(name)) co_return;
  const auto& service = state_.services().at(name);
  auto& duty = duties_[name];
  if (clock_.now() < duty.sharesAfter && duty.sharesFor == state_.nodes().size()) co_return;
  auto inputs = sharesInputs(name, service);
  if (service.reserved.empty() && duty.sharesFit == inputs) co_return;
  if (sharesSpent_ > timings_.dutyShares) {
    if (!sharesLeftAt_) sharesLeftAt_ = name;
    co_return;
  }
  auto began = clock_.now();
  duty.sharesAfter = clock_.now() + 2 * timings_.duty;
  duty.sharesFor = state_.nodes().size();
  Wanted wanted;
  Weights weights;
  for (const auto& [address, node] : state_.nodes()) {
    if (node.draining || silent(address)) continue;
    const auto* known = heard(address);
    if (!known) co_return;
    auto own = known->report.services.find(name);
    weights[address] = state_.plan()->weightOf(address);
    wanted[address] = own == known->report.services.end() ? std::map<BranchName, std::uint32_t>{} : own->second.connectionDemand;
  }
  auto reserved = reserve(name, service);
  Grants reservedBefore;
  for (const auto& [node, share] : service.reserved) reservedBefore[node] = share.connections;
  auto target = cutShares(without(state_.plan()->services.at(name), reserved), wanted, weights);
  sharesSpent_ += clock_.now() - began;
  if (target == service.grants && reserved == reservedBefore) {
    duty.sharesFit = inputs;
    co_return;
  }
  auto lower = lowered(service.grants, target);
  for (const auto& [node, share] : service.reserved)
    if (!reserved.contains(node) && target.contains(node) && !lower.contains(node))
      lower[node] = lowered({{node, share.connections}}, target)[node];
  if (lower != service.grants || reserved != reservedBefore) {
    bool nodesChanged = reserved != reservedBefore || target.size() != service.grants.size();
    bool pressing = nodesChanged && !canWait(name, service, target);
    for (const auto& [node, branches] : wanted)
      for (const auto& [branch, want] : branches) {
        auto held = service.grants.find(node);
        if (held == service.grants.end() || !held->second.contains(branch)) continue;
        pressing = pressing || (want > held->second.at(branch) && target[node][branch] > held->second.at(branch));
      }
    if (!pressing && reserved.empty()) duty.sharesFit = inputs;
    bool early = clock_.now() - duty.sharesMovedAt < timings_.sharesPause;
    if (!pressing || (early && !(nodesChanged && everyNodeFollows(name, service)))) co_return;
    duty.sharesMovedAt = clock_.now();
    SharesCommand update{name, service.sharesPosition, lower, reserved};
    co_await order(ControlCommandType::shares, packed(update));
    co_return;
  }
  if (!everyNodeFollows(name, service)) co_return;
  SharesCommand update{name, service.sharesPosition, target, reserved};
  co_await order(ControlCommandType::shares, packed(update));
}

}  // namespace tamarindshift

#include "group/sequenced_group.hpp"

#include <algorithm>

// How members agree on a new view and install it.

namespace tamarindshift {

bool SequencedGroup::isSequencer() const {
  return !members_.empty() && *members_.begin() == own_;
}

bool SequencedGroup::needsNewView(const std::set<Member>& reachable) const {
  if (flushing_ || reachable != members_ || listener_->wantsExchange()) return true;
  for (const auto& member : reachable) {
    if (member == own_) continue;
    const auto& heartbeat = peers_.at(member.server.address).heartbeat;
    if (heartbeat.flushing || heartbeat.view != view_) return true;
  }
  return false;
}

// nobody is waited for when all are here at last, and a set that could do nothing alone waits longer
Duration SequencedGroup::settlesIn(const std::set<Member>& candidates) const {
  if (candidates == members_) return timings_.settleDuration;
  std::set<ServerId> servers;
  for (const auto& member : candidates) servers.insert(member.server);
  switch (listener_->coverage(servers)) {
    case Coverage::all:
      return Duration::zero();
    case Coverage::majority:
      return 2 * timings_.settleDuration;
    default:
      return 3 * timings_.settleDuration;
  }
}

void SequencedGroup::considerForming() {
  if (!listener_) return;
  auto now = clock_.now();
  if (forming_ && now >= forming_->deadline) {
    for (const auto& member : forming_->members)
      if (!forming_->flushed.contains(member)) {
        auto found = peers_.find(member.server.address);
        if (found != peers_.end()) found->second.refusedUntil = now + 2 * timings_.suspicionTimeout;
      }
    forming_.reset();
  }
  auto candidates = reachable();
  bool waitingForInstall = flushing_ && promised_.coordinator != own_ && now - flushedAt_ < 2 * timings_.flushTimeout;
  if (forming_ || waitingForInstall || *candidates.begin() != own_ || !needsNewView(candidates)) {
    unsettledSince_.reset();
    return;
  }
  if (!unsettledSince_) unsettledSince_ = now;
  bool shrinks = !flushing_ && candidates.size() < members_.size() &&
                 std::includes(members_.begin(), members_.end(), candidates.begin(), candidates.end());
  if (shrinks || now - *unsettledSince_ >= settlesIn(candidates)) startForming(candidates);
}

// one that has not yet noticed that a member ended follows no other coordinator, and is asked again
void SequencedGroup::prepareAgain() {
  if (!forming_) return;
  for (const auto& member : forming_->members)
    if (member != own_ && !forming_->flushed.contains(member))
      send(member.server.address, MessageType::groupPrepare, GroupPrepare{forming_->proposed, forming_->members});
}

void SequencedGroup::startForming(std::set<Member> members) {
  unsettledSince_.reset();
  ViewId proposed{std::max(highestCounter_, promised_.counter) + 1, own_};
  journal_.count("group.views_proposed");
  forming_ = Forming{proposed, members, {}, clock_.now() + timings_.flushTimeout};
  GroupPrepare prepare{proposed, members};
  for (const auto& member : members)
    if (member != own_) send(member.server.address, MessageType::groupPrepare, prepare);
  onPrepare(prepare);
}

void SequencedGroup::onPrepare(const GroupPrepare& prepare) {
  if (!listener_ || !prepare.members.contains(own_) || prepare.proposed <= promised_) return;
  auto candidates = reachable();
  if (prepare.proposed.coordinator != own_) {
    if (!candidates.contains(prepare.proposed.coordinator) || *candidates.begin() < prepare.proposed.coordinator) return;
    forming_.reset();
  }
  promised_ = prepare.proposed;
  highestCounter_ = std::max(highestCounter_, promised_.counter);
  flushing_ = true;
  flushedAt_ = clock_.now();
  GroupFlushed flushed{promised_, own_, view_, safe_, {}};
  for (auto entry = held_.upper_bound(safe_); entry != held_.end(); ++entry) flushed.held.push_back(entry->second);
  if (promised_.coordinator == own_)
    onFlushed(flushed);
  else
    send(promised_.coordinator.server.address, MessageType::groupFlushed, flushed);
}

void SequencedGroup::onFlushed(const GroupFlushed& flushed) {
  if (!forming_ || flushed.proposed != forming_->proposed || !forming_->members.contains(flushed.from)) return;
  forming_->flushed[flushed.from] = flushed;
  if (forming_->flushed.size() == forming_->members.size()) finishForming();
}

void SequencedGroup::finishForming() {
  GroupInstall install{forming_->proposed, forming_->members, {}};
  for (const auto& [member, flushed] : forming_->flushed) {
    auto& branch = install.branches[flushed.view];
    branch.members.insert(member);
    branch.safe = std::max(branch.safe, flushed.safe);
    for (const auto& delivery : flushed.held) branch.held.emplace(delivery.sequence, delivery);
  }
  auto members = forming_->members;
  forming_.reset();
  for (const auto& member : members)
    if (member != own_) send(member.server.address, MessageType::groupInstall, install);
  onInstall(install);
}

void SequencedGroup::onInstall(const GroupInstall& install) {
  if (!listener_ || install.proposed != promised_ || !flushing_) return;
  if (!members_.empty()) {
    const auto& branch = install.branches.at(view_);
    for (const auto& [sequence, delivery] : branch.held)
      if (sequence > delivered_) held_.emplace(sequence, delivery);
    deliverUpTo(branch.safe);
    std::set<ServerId> transitional;
    for (const auto& member : branch.members) transitional.insert(member.server);
    listener_->transitionalConfiguration(transitional);
    deliverUpTo(std::numeric_limits<std::uint64_t>::max());
  }
  view_ = install.proposed;
  members_ = install.members;
  flushing_ = false;
  held_.clear();
  ordered_.clear();
  numbers_.clear();
  acked_.clear();
  unordered_.clear();
  received_ = stable_ = safe_ = delivered_ = lastSequence_ = lastNumber_ = 0;
  for (auto& [address, peer] : peers_) {
    peer.confirmedAt.reset();
    peer.proofWaiting.reset();
  }
  journal_.count("group.views_installed");
  Configuration configuration{view_, {}};
  std::string names;
  for (const auto& member : members_) {
    configuration.members.insert(member.server);
    names += ' ';
    names += text(member.server);
  }
  journal_.line("view " + text(view_) + " of" + names);
  listener_->regularConfiguration(configuration);
  scope_.spawn(proveSoon());
}

// two heartbeats at once, so that a new view is proved without waiting for the next ones
Task<void> SequencedGroup::proveSoon() {
  auto view = view_;
  for (int left = 2; left > 0 && view == view_ && !flushing_; --left) {
    sendHeartbeats();
    co_await sleep(clock_, 20ms);
  }
}

}  // namespace tamarindshift

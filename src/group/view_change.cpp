#include "group/sequenced_group.hpp"

#include <algorithm>

// View changes: the coordinator proposes a view, its members flush their old views, and all install the new one.

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

// How long a new view must be wanted before it is proposed. With all persistent members present there is nobody left to wait
// for; a minority, which could do nothing alone, waits longer than a majority.
Duration SequencedGroup::settleDurationFor(const std::set<Member>& candidates) const {
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

void SequencedGroup::considerViewChange() {
  if (!listener_) return;
  auto now = clock_.now();
  if (proposal_ && now >= proposal_->deadline) {
    for (const auto& member : proposal_->members)
      if (!proposal_->flushed.contains(member)) {
        auto found = peers_.find(member.server.address);
        if (found != peers_.end()) found->second.excludedUntil = now + 2 * timings_.suspicionTimeout;
      }
    proposal_.reset();
  }
  auto candidates = reachable();
  bool waitingForInstall = flushing_ && promised_.coordinator != own_ && now - flushedAt_ < 2 * timings_.flushTimeout;
  if (proposal_ || waitingForInstall || *candidates.begin() != own_ || !needsNewView(candidates)) {
    viewChangeWantedSince_.reset();
    return;
  }
  if (!viewChangeWantedSince_) viewChangeWantedSince_ = now;
  bool shrinks = !flushing_ && candidates.size() < members_.size() &&
                 std::includes(members_.begin(), members_.end(), candidates.begin(), candidates.end());
  if (shrinks || now - *viewChangeWantedSince_ >= settleDurationFor(candidates)) proposeView(candidates);
}

// A member that has not yet noticed that another one ended may still expect that one as coordinator and ignore this proposal, so
// it is sent again.
void SequencedGroup::resendPrepare() {
  if (!proposal_) return;
  for (const auto& member : proposal_->members)
    if (member != own_ && !proposal_->flushed.contains(member))
      send(member.server.address, MessageType::groupPrepare, GroupPrepare{proposal_->proposed, proposal_->members});
}

void SequencedGroup::proposeView(std::set<Member> members) {
  viewChangeWantedSince_.reset();
  ViewId proposed{std::max(highestCounter_, promised_.counter) + 1, own_};
  journal_.count("group.views_proposed");
  proposal_ = ViewProposal{proposed, members, {}, clock_.now() + timings_.flushTimeout};
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
    proposal_.reset();
  }
  promised_ = prepare.proposed;
  highestCounter_ = std::max(highestCounter_, promised_.counter);
  flushing_ = true;
  flushedAt_ = clock_.now();
  GroupFlushed flushed{promised_, own_, view_, safeUpTo_, {}};
  for (auto entry = undelivered_.upper_bound(safeUpTo_); entry != undelivered_.end(); ++entry) flushed.deliveries.push_back(entry->second);
  if (promised_.coordinator == own_)
    onFlushed(flushed);
  else
    send(promised_.coordinator.server.address, MessageType::groupFlushed, flushed);
}

void SequencedGroup::onFlushed(const GroupFlushed& flushed) {
  if (!proposal_ || flushed.proposed != proposal_->proposed || !proposal_->members.contains(flushed.from)) return;
  proposal_->flushed[flushed.from] = flushed;
  if (proposal_->flushed.size() == proposal_->members.size()) installProposedView();
}

void SequencedGroup::installProposedView() {
  GroupInstall install{proposal_->proposed, proposal_->members, {}};
  for (const auto& [member, flushed] : proposal_->flushed) {
    auto& previous = install.previousViews[flushed.view];
    previous.members.insert(member);
    previous.safe = std::max(previous.safe, flushed.safe);
    for (const auto& delivery : flushed.deliveries) previous.deliveries.emplace(delivery.sequence, delivery);
  }
  auto members = proposal_->members;
  proposal_.reset();
  for (const auto& member : members)
    if (member != own_) send(member.server.address, MessageType::groupInstall, install);
  onInstall(install);
}

void SequencedGroup::onInstall(const GroupInstall& install) {
  if (!listener_ || install.proposed != promised_ || !flushing_) return;
  if (!members_.empty()) {
    const auto& previous = install.previousViews.at(view_);
    for (const auto& [sequence, delivery] : previous.deliveries)
      if (sequence > deliveredUpTo_) undelivered_.emplace(sequence, delivery);
    deliverUpTo(previous.safe);
    std::set<ServerId> transitional;
    for (const auto& member : previous.members) transitional.insert(member.server);
    listener_->transitionalConfiguration(transitional);
    deliverUpTo(std::numeric_limits<std::uint64_t>::max());
  }
  view_ = install.proposed;
  members_ = install.members;
  flushing_ = false;
  undelivered_.clear();
  ordered_.clear();
  lastSenderSequence_.clear();
  acked_.clear();
  unordered_.clear();
  receivedUpTo_ = stableUpTo_ = safeUpTo_ = deliveredUpTo_ = lastSequence_ = lastSubmitted_ = 0;
  for (auto& [address, peer] : peers_) {
    peer.confirmedAt.reset();
    peer.pendingConfirmation.reset();
  }
  journal_.count("group.views_installed");
  Configuration configuration{view_, {}};
  std::string names;
  for (const auto& member : members_) {
    configuration.members.insert(member.server);
    names += ' ';
    names += text(member.server);
  }
  journal_.line("view " + text(view_) + " installed, members:" + names);
  listener_->regularConfiguration(configuration);
  scope_.spawn(confirmNewView());
}

// Sends two heartbeats 20 ms apart, so that a new view is confirmed (viewConfirmedAt) without waiting for the regular ones.
Task<void> SequencedGroup::confirmNewView() {
  auto view = view_;
  for (int remaining = 2; remaining > 0 && view == view_ && !flushing_; --remaining) {
    sendHeartbeats();
    co_await sleep(clock_, 20ms);
  }
}

}  // namespace tamarindshift

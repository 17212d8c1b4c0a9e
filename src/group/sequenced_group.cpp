#include "group/sequenced_group.hpp"

#include <algorithm>

namespace tamarindshift {

SequencedGroup::SequencedGroup(Clock& clock, PeerLink& link, Journal& journal, Member own, std::set<Address> seeds, GroupTimings timings)
    : clock_(clock), link_(link), journal_(journal), own_(std::move(own)), seeds_(std::move(seeds)), timings_(timings), known_(seeds_) {
  known_.erase(own_.server.address);
  route(MessageType::groupHeartbeat, &SequencedGroup::onHeartbeat);
  route(MessageType::groupSubmit, &SequencedGroup::onSubmit);
  route(MessageType::groupOrdered, &SequencedGroup::onOrdered);
  route(MessageType::groupAcked, &SequencedGroup::onAcked);
  route(MessageType::groupSafe, &SequencedGroup::onSafe);
  route(MessageType::groupPrepare, &SequencedGroup::onPrepare);
  route(MessageType::groupFlushed, &SequencedGroup::onFlushed);
  route(MessageType::groupInstall, &SequencedGroup::onInstall);
  link_.onRefused([this](const Address& peer) {
    queue_.put([this, peer] {
      onRefused(peer);
    });
  });
  scope_.spawn(work());
  scope_.spawn(heartbeat());
}

template <class Body>
void SequencedGroup::route(MessageType matter, void (SequencedGroup::*handler)(const Body&)) {
  link_.on(matter, [this, handler](const Address&, const std::string& bytes) {
    auto body = unpacked<Body>(bytes);
    if (!body) {
      journal_.count("group.unreadable");
      return;
    }
    queue_.put([this, handler, received = std::move(*body)] {
      (this->*handler)(received);
    });
  });
}

Task<void> SequencedGroup::work() {
  for (;;) {
    auto command = co_await queue_.take(clock_);
    command();
  }
}

Task<void> SequencedGroup::heartbeat() {
  for (;;) {
    queue_.put([this] {
      sendHeartbeats();
      prepareAgain();
      considerForming();
    });
    co_await sleep(clock_, timings_.heartbeatInterval);
  }
}

void SequencedGroup::join(GroupListener& listener) {
  listener_ = &listener;
}

void SequencedGroup::meet(const std::set<Address>& addresses) {
  for (const auto& address : addresses)
    if (address != own_.server.address) known_.insert(address);
}

void SequencedGroup::retire() {
  retiring_ = true;
  queue_.put([this] {
    sendHeartbeats();
    considerForming();
  });
}

void SequencedGroup::setFoundingMembers(std::set<ServerId> foundingMembers) {
  foundingMembers_ = std::move(foundingMembers);
}

std::optional<std::set<ServerId>> SequencedGroup::unjoinedSeeds() const {
  std::set<ServerId> servers;
  for (const auto& seed : seeds_) {
    if (seed == own_.server.address) {
      servers.insert(own_.server);
      continue;
    }
    auto found = peers_.find(seed);
    if (found == peers_.end() || clock_.now() - found->second.heardAt > timings_.suspicionTimeout) return std::nullopt;
    if (found->second.heartbeat.joined) return std::nullopt;
    servers.insert(found->second.heartbeat.from.server);
  }
  return servers;
}

std::optional<std::set<ServerId>> SequencedGroup::agreedFoundingMembers() const {
  for (const auto& [address, peer] : peers_)
    if (peer.heartbeat.joined && peer.heartbeat.foundingMembers.contains(own_.server)) return peer.heartbeat.foundingMembers;
  if (foundingMembers_.empty()) return std::nullopt;
  for (const auto& server : foundingMembers_) {
    if (server == own_.server) continue;
    auto found = peers_.find(server.address);
    if (found == peers_.end() || found->second.heartbeat.from.server != server) return std::nullopt;
    if (found->second.heartbeat.foundingMembers != foundingMembers_) return std::nullopt;
  }
  return foundingMembers_;
}

std::vector<Address> SequencedGroup::joinedPeers() const {
  std::vector<Address> joined;
  for (const auto& [address, peer] : peers_)
    if (peer.heartbeat.joined && clock_.now() - peer.heardAt <= timings_.suspicionTimeout) joined.push_back(address);
  return joined;
}

void SequencedGroup::sendHeartbeats() {
  if (listener_ && listener_->suspended()) return;
  GroupHeartbeat heartbeat;
  heartbeat.from = own_;
  heartbeat.joined = listener_ != nullptr;
  heartbeat.view = view_;
  heartbeat.flushing = flushing_;
  heartbeat.highestCounter = highestCounter_;
  heartbeat.received = received_;
  heartbeat.stable = stable_;
  heartbeat.safe = safe_;
  heartbeat.sentAt = clock_.now().time_since_epoch();
  heartbeat.knownAddresses = known_;
  heartbeat.foundingMembers = foundingMembers_;
  heartbeat.retiring = retiring_;
  for (const auto& [address, peer] : peers_)
    if (clock_.now() - peer.heardAt <= timings_.suspicionTimeout)
      heartbeat.lastHeartbeatSentAt[peer.heartbeat.from] = peer.heartbeat.sentAt;
  for (const auto& address : known_) send(address, MessageType::groupHeartbeat, heartbeat);
  submitAgain();
}

void SequencedGroup::submitAgain() {
  if (flushing_) return;
  std::size_t bytes = 0;
  for (auto& unordered : unordered_) {
    if (clock_.now() - unordered.sentAt <= 2 * timings_.heartbeatInterval) continue;
    submit(unordered);
    bytes += unordered.payload.size();
    if (bytes >= repeatedBytes) return;
  }
}

void SequencedGroup::orderAgain(const Address& peer, std::uint64_t received) {
  std::size_t bytes = 0;
  for (auto next = ordered_.upper_bound(received); next != ordered_.end() && bytes < repeatedBytes; ++next) {
    send(peer, MessageType::groupOrdered, next->second);
    bytes += next->second.delivery.payload.size();
  }
}

void SequencedGroup::onHeartbeat(const GroupHeartbeat& heartbeat) {
  if (heartbeat.from.server.address == own_.server.address) return;
  if (listener_ && listener_->hasLeft(heartbeat.from.server)) {
    send(heartbeat.from.server.address, MessageType::removalNotice, heartbeat.from.server);
    return;
  }
  auto& peer = peers_[heartbeat.from.server.address];
  if (peer.heartbeat.from != heartbeat.from)
    peer = Peer{};
  else if (heartbeat.sentAt < peer.heartbeat.sentAt)
    return;
  std::uint64_t receivedBefore = peer.heartbeat.view == heartbeat.view ? peer.heartbeat.received : 0;
  peer.heartbeat = heartbeat;
  peer.heardAt = clock_.now();
  known_.insert(heartbeat.from.server.address);
  for (const auto& address : heartbeat.knownAddresses)
    if (address != own_.server.address) known_.insert(address);
  highestCounter_ = std::max(highestCounter_, heartbeat.highestCounter);

  bool sameView = !flushing_ && !heartbeat.flushing && heartbeat.view == view_;
  if (!sameView) {
    peer.confirmedAt.reset();
    peer.proofWaiting.reset();
    return;
  }
  auto heard = heartbeat.lastHeartbeatSentAt.find(own_);
  if (heard != heartbeat.lastHeartbeatSentAt.end() && !peer.proofWaiting) {
    peer.proofWaiting = Instant{heard->second};
    peer.proofNeeds = heartbeat.safe;
  }
  if (isSequencer()) {
    recordAck(heartbeat.from, heartbeat.stable);
    if (heartbeat.received == receivedBefore) orderAgain(heartbeat.from.server.address, heartbeat.received);
  } else if (heartbeat.from == *members_.begin()) {
    advanceSafe(heartbeat.safe);
  }
  settleProof(peer);
}

void SequencedGroup::settleProof(Peer& peer) {
  if (!peer.proofWaiting || delivered_ < peer.proofNeeds) return;
  peer.confirmedAt = std::max(peer.confirmedAt.value_or(Instant::min()), *peer.proofWaiting);
  peer.proofWaiting.reset();
}

void SequencedGroup::onRefused(const Address& address) {
  auto found = peers_.find(address);
  if (found == peers_.end()) return;
  found->second.endedAt = clock_.now();
  considerForming();
}

std::optional<Instant> SequencedGroup::viewConfirmedAt() const {
  if (flushing_ || members_.empty()) return std::nullopt;
  Instant proved = clock_.now();
  for (const auto& member : members_) {
    if (member == own_) continue;
    auto found = peers_.find(member.server.address);
    if (found == peers_.end() || found->second.heartbeat.from != member || !found->second.confirmedAt) return std::nullopt;
    proved = std::min(proved, *found->second.confirmedAt);
  }
  return proved;
}

std::set<ServerId> SequencedGroup::unjoinedServers() const {
  std::set<ServerId> servers;
  for (const auto& [address, peer] : peers_)
    if (!peer.heartbeat.joined && clock_.now() - peer.heardAt <= timings_.suspicionTimeout) servers.insert(peer.heartbeat.from.server);
  return servers;
}

std::set<Member> SequencedGroup::reachable() const {
  std::set<Member> members{own_};
  if (retiring_ || (listener_ && listener_->suspended())) return members;
  for (const auto& [address, peer] : peers_) {
    if (!peer.heartbeat.joined || clock_.now() - peer.heardAt > timings_.suspicionTimeout) continue;
    if (!peer.heartbeat.lastHeartbeatSentAt.contains(own_) || peer.heartbeat.retiring) continue;
    if (peer.refusedUntil && *peer.refusedUntil > clock_.now()) continue;
    if (peer.endedAt && *peer.endedAt >= peer.heardAt) continue;
    members.insert(peer.heartbeat.from);
  }
  return members;
}

void SequencedGroup::multicast(const ViewId& view, std::string payload, bool durable) {
  if (flushing_ || view != view_) return;
  unordered_.push_back(Unordered{++lastNumber_, std::move(payload), durable, {}});
  submit(unordered_.back());
}

void SequencedGroup::submit(Unordered& unordered) {
  unordered.sentAt = clock_.now();
  GroupSubmit submit{view_, own_, unordered.number, unordered.payload, unordered.durable};
  if (isSequencer())
    queue_.put([this, submit] {
      order(submit);
    });
  else
    send(members_.begin()->server.address, MessageType::groupSubmit, submit);
}

void SequencedGroup::onSubmit(const GroupSubmit& submit) {
  if (isSequencer()) order(submit);
}

void SequencedGroup::order(const GroupSubmit& submit) {
  if (flushing_ || submit.view != view_ || numbers_[submit.from] + 1 != submit.number) return;
  numbers_[submit.from] = submit.number;
  GroupOrdered ordered{Delivery{view_, ++lastSequence_, submit.from.server, submit.payload, submit.durable}, submit.number};
  ordered_.emplace(lastSequence_, ordered);
  for (const auto& member : members_)
    if (member != own_) send(member.server.address, MessageType::groupOrdered, ordered);
  hold(ordered);
}

void SequencedGroup::onOrdered(const GroupOrdered& ordered) {
  if (flushing_ || ordered.delivery.view != view_) return;
  hold(ordered);
}

void SequencedGroup::hold(const GroupOrdered& ordered) {
  const auto& delivery = ordered.delivery;
  if (delivery.sequence != received_ + 1) return;
  received_ = delivery.sequence;
  held_.emplace(delivery.sequence, delivery);
  if (delivery.sender == own_.server)
    while (!unordered_.empty() && unordered_.front().number <= ordered.number) unordered_.pop_front();
  listener_->received({delivery}, [this, view = view_, upto = delivery.sequence] {
    becameStable(view, upto);
  });
}

void SequencedGroup::becameStable(const ViewId& view, std::uint64_t upto) {
  if (flushing_ || view != view_ || upto <= stable_) return;
  stable_ = upto;
  if (isSequencer())
    recordAck(own_, stable_);
  else
    send(members_.begin()->server.address, MessageType::groupAcked, GroupMark{view_, own_, stable_});
}

void SequencedGroup::onAcked(const GroupMark& mark) {
  if (!flushing_ && mark.view == view_ && isSequencer()) recordAck(mark.from, mark.upto);
}

void SequencedGroup::recordAck(const Member& member, std::uint64_t upto) {
  acked_[member] = std::max(acked_[member], upto);
  std::uint64_t everyone = lastSequence_;
  for (const auto& each : members_) {
    auto found = acked_.find(each);
    everyone = std::min(everyone, found == acked_.end() ? 0 : found->second);
  }
  if (everyone <= safe_) return;
  for (const auto& each : members_)
    if (each != own_) send(each.server.address, MessageType::groupSafe, GroupMark{view_, own_, everyone});
  ordered_.erase(ordered_.begin(), ordered_.upper_bound(everyone));
  advanceSafe(everyone);
}

void SequencedGroup::onSafe(const GroupMark& mark) {
  if (!flushing_ && mark.view == view_ && mark.from == *members_.begin()) advanceSafe(mark.upto);
}

void SequencedGroup::advanceSafe(std::uint64_t upto) {
  if (upto <= safe_) return;
  safe_ = upto;
  deliverUpTo(upto);
  for (auto& [address, peer] : peers_) settleProof(peer);
}

void SequencedGroup::deliverUpTo(std::uint64_t upto) {
  while (delivered_ < upto) {
    auto next = held_.find(delivered_ + 1);
    if (next == held_.end()) return;
    auto delivery = next->second;
    held_.erase(next);
    ++delivered_;
    listener_->deliver(delivery);
  }
}

}  // namespace tamarindshift

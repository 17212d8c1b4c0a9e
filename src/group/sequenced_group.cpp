#include "group/sequenced_group.hpp"

#include <algorithm>

namespace tamarindshift {

SequencedGroup::SequencedGroup(Clock& clock, PeerLink& link, Journal& journal, Member own, std::set<Address> seeds, GroupTimings timings)
    : clock_(clock),
      link_(link),
      journal_(journal),
      own_(std::move(own)),
      seeds_(std::move(seeds)),
      timings_(timings),
      knownAddresses_(seeds_) {
  knownAddresses_.erase(own_.server.address);
  registerHandler(MessageType::groupHeartbeat, &SequencedGroup::onHeartbeat);
  registerHandler(MessageType::groupSubmit, &SequencedGroup::onSubmit);
  registerHandler(MessageType::groupOrdered, &SequencedGroup::onOrdered);
  registerHandler(MessageType::groupAcked, &SequencedGroup::onAcked);
  registerHandler(MessageType::groupSafe, &SequencedGroup::onSafe);
  registerHandler(MessageType::groupPrepare, &SequencedGroup::onPrepare);
  registerHandler(MessageType::groupFlushed, &SequencedGroup::onFlushed);
  registerHandler(MessageType::groupInstall, &SequencedGroup::onInstall);
  link_.onRefused([this](const Address& peer) {
    queue_.put([this, peer] {
      onRefused(peer);
    });
  });
  scope_.spawn(runCommands());
  scope_.spawn(heartbeatLoop());
}

template <class Body>
void SequencedGroup::registerHandler(MessageType type, void (SequencedGroup::*handler)(const Body&)) {
  link_.on(type, [this, handler](const Address&, const std::string& bytes) {
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

Task<void> SequencedGroup::runCommands() {
  for (;;) {
    auto command = co_await queue_.take(clock_);
    command();
  }
}

Task<void> SequencedGroup::heartbeatLoop() {
  for (;;) {
    queue_.put([this] {
      sendHeartbeats();
      resendPrepare();
      considerViewChange();
    });
    co_await sleep(clock_, timings_.heartbeatInterval);
  }
}

void SequencedGroup::join(GroupListener& listener) {
  listener_ = &listener;
}

void SequencedGroup::addKnownAddresses(const std::set<Address>& addresses) {
  for (const auto& address : addresses)
    if (address != own_.server.address) knownAddresses_.insert(address);
}

void SequencedGroup::retire() {
  retiring_ = true;
  queue_.put([this] {
    sendHeartbeats();
    considerViewChange();
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
    if (found == peers_.end() || clock_.now() - found->second.lastContactAt > timings_.suspicionTimeout) return std::nullopt;
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
    if (peer.heartbeat.joined && clock_.now() - peer.lastContactAt <= timings_.suspicionTimeout) joined.push_back(address);
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
  heartbeat.received = receivedUpTo_;
  heartbeat.stable = stableUpTo_;
  heartbeat.safe = safeUpTo_;
  heartbeat.sentAt = clock_.now().time_since_epoch();
  heartbeat.knownAddresses = knownAddresses_;
  heartbeat.foundingMembers = foundingMembers_;
  heartbeat.retiring = retiring_;
  for (const auto& [address, peer] : peers_)
    if (clock_.now() - peer.lastContactAt <= timings_.suspicionTimeout)
      heartbeat.lastHeartbeatSentAt[peer.heartbeat.from] = peer.heartbeat.sentAt;
  for (const auto& address : knownAddresses_) send(address, MessageType::groupHeartbeat, heartbeat);
  resendSubmits();
}

void SequencedGroup::resendSubmits() {
  if (flushing_) return;
  std::size_t bytes = 0;
  for (auto& unordered : unordered_) {
    if (clock_.now() - unordered.sentAt <= 2 * timings_.heartbeatInterval) continue;
    submit(unordered);
    bytes += unordered.payload.size();
    if (bytes >= resendBytesPerHeartbeat) return;
  }
}

void SequencedGroup::resendOrdered(const Address& peer, std::uint64_t received) {
  std::size_t bytes = 0;
  for (auto next = ordered_.upper_bound(received); next != ordered_.end() && bytes < resendBytesPerHeartbeat; ++next) {
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
  peer.lastContactAt = clock_.now();
  knownAddresses_.insert(heartbeat.from.server.address);
  for (const auto& address : heartbeat.knownAddresses)
    if (address != own_.server.address) knownAddresses_.insert(address);
  highestCounter_ = std::max(highestCounter_, heartbeat.highestCounter);

  bool sameView = !flushing_ && !heartbeat.flushing && heartbeat.view == view_;
  if (!sameView) {
    peer.confirmedAt.reset();
    peer.pendingConfirmation.reset();
    return;
  }
  auto echo = heartbeat.lastHeartbeatSentAt.find(own_);
  if (echo != heartbeat.lastHeartbeatSentAt.end() && !peer.pendingConfirmation) {
    peer.pendingConfirmation = Instant{echo->second};
    peer.pendingConfirmationNeeds = heartbeat.safe;
  }
  if (isSequencer()) {
    recordAck(heartbeat.from, heartbeat.stable);
    if (heartbeat.received == receivedBefore) resendOrdered(heartbeat.from.server.address, heartbeat.received);
  } else if (heartbeat.from == *members_.begin()) {
    advanceSafe(heartbeat.safe);
  }
  applyPendingConfirmation(peer);
}

void SequencedGroup::applyPendingConfirmation(Peer& peer) {
  if (!peer.pendingConfirmation || deliveredUpTo_ < peer.pendingConfirmationNeeds) return;
  peer.confirmedAt = std::max(peer.confirmedAt.value_or(Instant::min()), *peer.pendingConfirmation);
  peer.pendingConfirmation.reset();
}

void SequencedGroup::onRefused(const Address& address) {
  auto found = peers_.find(address);
  if (found == peers_.end()) return;
  found->second.connectionRefusedAt = clock_.now();
  considerViewChange();
}

std::optional<Instant> SequencedGroup::viewConfirmedAt() const {
  if (flushing_ || members_.empty()) return std::nullopt;
  Instant confirmed = clock_.now();
  for (const auto& member : members_) {
    if (member == own_) continue;
    auto found = peers_.find(member.server.address);
    if (found == peers_.end() || found->second.heartbeat.from != member || !found->second.confirmedAt) return std::nullopt;
    confirmed = std::min(confirmed, *found->second.confirmedAt);
  }
  return confirmed;
}

std::set<ServerId> SequencedGroup::unjoinedServers() const {
  std::set<ServerId> servers;
  for (const auto& [address, peer] : peers_)
    if (!peer.heartbeat.joined && clock_.now() - peer.lastContactAt <= timings_.suspicionTimeout)
      servers.insert(peer.heartbeat.from.server);
  return servers;
}

std::set<Member> SequencedGroup::reachable() const {
  std::set<Member> members{own_};
  if (retiring_ || (listener_ && listener_->suspended())) return members;
  for (const auto& [address, peer] : peers_) {
    if (!peer.heartbeat.joined || clock_.now() - peer.lastContactAt > timings_.suspicionTimeout) continue;
    if (!peer.heartbeat.lastHeartbeatSentAt.contains(own_) || peer.heartbeat.retiring) continue;
    if (peer.excludedUntil && *peer.excludedUntil > clock_.now()) continue;
    if (peer.connectionRefusedAt && *peer.connectionRefusedAt >= peer.lastContactAt) continue;
    members.insert(peer.heartbeat.from);
  }
  return members;
}

void SequencedGroup::multicast(const ViewId& view, std::string payload, bool durable) {
  if (flushing_ || view != view_) return;
  unordered_.push_back(UnorderedMessage{++lastSubmitted_, std::move(payload), durable, {}});
  submit(unordered_.back());
}

void SequencedGroup::submit(UnorderedMessage& unordered) {
  unordered.sentAt = clock_.now();
  GroupSubmit submit{view_, own_, unordered.senderSequence, unordered.payload, unordered.durable};
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
  if (flushing_ || submit.view != view_ || lastSenderSequence_[submit.from] + 1 != submit.senderSequence) return;
  lastSenderSequence_[submit.from] = submit.senderSequence;
  GroupOrdered ordered{Delivery{view_, ++lastSequence_, submit.from.server, submit.payload, submit.durable}, submit.senderSequence};
  ordered_.emplace(lastSequence_, ordered);
  for (const auto& member : members_)
    if (member != own_) send(member.server.address, MessageType::groupOrdered, ordered);
  acceptOrdered(ordered);
}

void SequencedGroup::onOrdered(const GroupOrdered& ordered) {
  if (flushing_ || ordered.delivery.view != view_) return;
  acceptOrdered(ordered);
}

void SequencedGroup::acceptOrdered(const GroupOrdered& ordered) {
  const auto& delivery = ordered.delivery;
  if (delivery.sequence != receivedUpTo_ + 1) return;
  receivedUpTo_ = delivery.sequence;
  undelivered_.emplace(delivery.sequence, delivery);
  if (delivery.sender == own_.server)
    while (!unordered_.empty() && unordered_.front().senderSequence <= ordered.senderSequence) unordered_.pop_front();
  listener_->received({delivery}, [this, view = view_, sequence = delivery.sequence] {
    becameStable(view, sequence);
  });
}

void SequencedGroup::becameStable(const ViewId& view, std::uint64_t sequence) {
  if (flushing_ || view != view_ || sequence <= stableUpTo_) return;
  stableUpTo_ = sequence;
  if (isSequencer())
    recordAck(own_, stableUpTo_);
  else
    send(members_.begin()->server.address, MessageType::groupAcked, GroupWatermark{view_, own_, stableUpTo_});
}

void SequencedGroup::onAcked(const GroupWatermark& watermark) {
  if (!flushing_ && watermark.view == view_ && isSequencer()) recordAck(watermark.from, watermark.sequence);
}

void SequencedGroup::recordAck(const Member& member, std::uint64_t sequence) {
  acked_[member] = std::max(acked_[member], sequence);
  std::uint64_t ackedByAll = lastSequence_;
  for (const auto& each : members_) {
    auto found = acked_.find(each);
    ackedByAll = std::min(ackedByAll, found == acked_.end() ? 0 : found->second);
  }
  if (ackedByAll <= safeUpTo_) return;
  for (const auto& each : members_)
    if (each != own_) send(each.server.address, MessageType::groupSafe, GroupWatermark{view_, own_, ackedByAll});
  ordered_.erase(ordered_.begin(), ordered_.upper_bound(ackedByAll));
  advanceSafe(ackedByAll);
}

void SequencedGroup::onSafe(const GroupWatermark& watermark) {
  if (!flushing_ && watermark.view == view_ && watermark.from == *members_.begin()) advanceSafe(watermark.sequence);
}

void SequencedGroup::advanceSafe(std::uint64_t sequence) {
  if (sequence <= safeUpTo_) return;
  safeUpTo_ = sequence;
  deliverUpTo(sequence);
  for (auto& [address, peer] : peers_) applyPendingConfirmation(peer);
}

void SequencedGroup::deliverUpTo(std::uint64_t sequence) {
  while (deliveredUpTo_ < sequence) {
    auto next = undelivered_.find(deliveredUpTo_ + 1);
    if (next == undelivered_.end()) return;
    auto delivery = next->second;
    undelivered_.erase(next);
    ++deliveredUpTo_;
    listener_->deliver(delivery);
  }
}

}  // namespace tamarindshift

#include "base/desk.hpp"

#include "wire/peer_request.hpp"

namespace tamarindshift {

Desk::Desk(Clock& clock, PeerLink& link, std::uint64_t boot) : clock_(clock), link_(link), boot_(boot) {
  link_.on(MessageType::request, [this](const Address& from, const std::string& bytes) {
    onAsk(from, bytes);
  });
  link_.on(MessageType::reply, [this](const Address& from, const std::string& bytes) {
    onReply(from, bytes);
  });
  link_.onRefused([this](const Address& peer) {
    onRefused(peer);
  });
}

void Desk::onRefused(const Address& peer) {
  for (auto& [attempt, pending] : pending_) {
    if (pending->peer != peer) continue;
    pending->refused = true;
    pending->gate.open();
  }
}

std::shared_ptr<Desk::Pending> Desk::send(const Address& peer, std::string subject, std::string body) {
  auto pending = std::make_shared<Pending>();
  pending->peer = peer;
  pending->attempt = ++lastAttempt_;
  pending_[pending->attempt] = pending;
  PeerRequest ask{pending->attempt, boot_, std::move(subject), std::move(body)};
  link_.pass(peer, Envelope{MessageType::request, packed(ask)});
  return pending;
}

Task<std::optional<std::string>> Desk::ask(Address peer, std::string subject, std::string body, Instant deadline) {
  auto pending = send(peer, std::move(subject), std::move(body));
  co_await pending->gate.wait(clock_, deadline);
  pending_.erase(pending->attempt);
  co_return pending->body;
}

Task<std::optional<std::string>> Desk::askPatiently(Address peer, std::string subject, std::string body, Duration patience,
                                                    Instant deadline) {
  auto pending = send(peer, std::move(subject), std::move(body));
  std::size_t arrived = 0;
  do {
    arrived = link_.arriving(peer);
    co_await pending->gate.wait(clock_, std::min(deadline, clock_.now() + patience));
  } while (!pending->body && !pending->refused && clock_.now() < deadline && link_.arriving(peer) > arrived);
  pending_.erase(pending->attempt);
  co_return pending->body;
}

void Desk::tell(const Address& peer, const std::string& subject, const std::string& body) {
  link_.pass(peer, Envelope{MessageType::request, packed(PeerRequest{0, boot_, subject, body})});
}

void Desk::onAsk(const Address& from, const std::string& bytes) {
  auto ask = unpacked<PeerRequest>(bytes);
  if (ask) scope_.spawn(answer(from, ask->attempt, ask->boot, ask->subject, ask->body));
}

Task<void> Desk::answer(Address from, std::uint64_t attempt, std::uint64_t boot, std::string subject, std::string body) {
  auto found = services_.find(subject);
  if (found == services_.end()) co_return;
  auto reply = co_await found->second(from, std::move(body));
  if (reply && attempt != 0) link_.pass(from, Envelope{MessageType::reply, packed(PeerReply{attempt, boot, std::move(*reply)})});
}

void Desk::onReply(const Address& from, const std::string& bytes) {
  auto reply = unpacked<PeerReply>(bytes);
  if (!reply || reply->boot != boot_) return;
  auto found = pending_.find(reply->attempt);
  if (found == pending_.end() || found->second->peer != from || found->second->body) return;
  found->second->body = std::move(reply->body);
  found->second->gate.open();
}

}  // namespace tamarindshift

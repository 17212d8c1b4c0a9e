#include "base/desk.hpp"

#include "wire/desk_messages.hpp"

namespace tamarindshift {

Desk::Desk(Clock& clock, PeerLink& link)
    : clock_(clock), link_(link), lastAttempt_(static_cast<std::uint64_t>(clock.now().time_since_epoch().count()) << 8) {
  link_.on(Matter::ask, [this](const Address& from, const std::string& bytes) { onAsk(from, bytes); });
  link_.on(Matter::reply, [this](const Address&, const std::string& bytes) { onReply(bytes); });
}

Task<std::optional<std::string>> Desk::ask(Address peer, std::string subject, std::string body, Instant deadline) {
  auto attempt = ++lastAttempt_;
  auto pending = std::make_shared<Pending>();
  pending_[attempt] = pending;
  DeskAsk ask{attempt, std::move(subject), std::move(body)};
  link_.pass(peer, Envelope{Matter::ask, packed(ask)});
  co_await pending->gate.wait(clock_, deadline);
  pending_.erase(attempt);
  co_return pending->body;
}

void Desk::tell(const Address& peer, const std::string& subject, const std::string& body) {
  link_.pass(peer, Envelope{Matter::ask, packed(DeskAsk{0, subject, body})});
}

void Desk::onAsk(const Address& from, const std::string& bytes) {
  auto ask = unpacked<DeskAsk>(bytes);
  if (ask) scope_.spawn(answer(from, ask->attempt, ask->subject, ask->body));
}

Task<void> Desk::answer(Address from, std::uint64_t attempt, std::string subject, std::string body) {
  auto found = services_.find(subject);
  if (found == services_.end()) co_return;
  auto reply = co_await found->second(from, std::move(body));
  if (reply && attempt != 0) link_.pass(from, Envelope{Matter::reply, packed(DeskReply{attempt, std::move(*reply)})});
}

void Desk::onReply(const std::string& bytes) {
  auto reply = unpacked<DeskReply>(bytes);
  if (!reply) return;
  auto found = pending_.find(reply->attempt);
  if (found == pending_.end()) return;
  found->second->body = std::move(reply->body);
  found->second->gate.open();
}

}  // namespace tamarindshift

#include "tests/platform/standin_wire_session.hpp"

#include <sstream>

#include "base/gate.hpp"

namespace tamarindshift::testing {

StandinWireSession::StandinWireSession(Clock& clock, LineLink& link, World& world, ClientHistory& history, const ClientKind& kind)
    : clock_(clock), link_(link), world_(world), history_(history), kind_(kind) {}

std::string StandinWireSession::freshId() {
  std::ostringstream text;
  text << std::hex << world_.below(std::uint64_t{1} << 63);
  return text.str();
}

void StandinWireSession::close() {
  if (channel_) channel_->release();
  channel_.reset();
}

void StandinWireSession::drop() {
  channel_.reset();
}

Task<bool> StandinWireSession::ready(std::size_t attempt, std::optional<Address> node) {
  if (open()) {
    history_.tries[attempt].session = number_;
    history_.tries[attempt].node = node_;
    co_return true;
  }
  prepared_.clear();
  setAt_ = 0;
  state_ = 'I';
  number_ = ++history_.sessions;
  history_.tries[attempt].session = number_;
  if (!node) co_return false;
  node_ = *node;
  history_.tries[attempt].node = node_;
  channel_ = std::make_unique<WireChannel>(clock_, link_);
  auto asked = clock_.now();
  auto patience = asked + 2s;
  bool opened = co_await channel_->open(node_, patience);
  if (!opened) {
    channel_.reset();
    co_return false;
  }
  std::string who = "u" + std::to_string(number_);
  auto reply = co_await channel_->setUp(kind_.hostName, std::move(who), {}, patience);
  if (reply.end == WireEnd::complete) co_return true;
  ClientStatement refused;
  refused.id = "-";
  refused.text = "SETUP " + kind_.hostName;
  refused.sentAt = asked;
  refused.endedAt = reply.at;
  refused.reply = reply;
  history_.tries[attempt].statements.push_back(std::move(refused));
  drop();
  co_return false;
}

Task<WireReply> StandinWireSession::ask(std::size_t attempt, std::string text, Instant deadline) {
  ClientStatement asked;
  asked.id = kind_.oneIdPerTry ? tryId_ : freshId();
  asked.text = text;
  asked.sentAt = clock_.now();
  asked.reply.end = WireEnd::silent;
  auto id = asked.id;
  auto place = history_.tries[attempt].statements.size();
  history_.tries[attempt].statements.push_back(std::move(asked));
  auto reply = co_await channel_->query(std::move(id), std::move(text), deadline);
  auto& noted = history_.tries[attempt].statements[place];
  noted.endedAt = reply.at;
  noted.reply = reply;
  state_ = reply.state;
  if (reply.state == '?') drop();
  co_return reply;
}

Task<void> StandinWireSession::rest(Duration pause) {
  auto until = clock_.now() + pause;
  if (open()) {
    auto message = co_await channel_->unasked(until);
    if (message) {
      if (!message->starts_with("ERROR"))
        history_.faults.push_back("session " + std::to_string(number_) + " got '" + *message + "' and asked nothing");
      drop();
    } else if (!open()) {
      drop();
    }
  }
  if (clock_.now() < until) co_await sleep(clock_, until - clock_.now());
}

}  // namespace tamarindshift::testing

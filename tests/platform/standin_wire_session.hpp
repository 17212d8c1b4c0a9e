#pragma once

#include <set>

#include "simulated/world.hpp"
#include "tests/platform/client_history.hpp"
#include "tests/platform/client_kind.hpp"
#include "tests/platform/wire_channel.hpp"

namespace tamarindshift::testing {

// one connection of a client, and what the client knows of it
class StandinWireSession {
 public:
  StandinWireSession(Clock& clock, LineLink& link, World& world, ClientHistory& history, const ClientKind& kind);
  // false where the try has failed
  Task<bool> ready(std::size_t attempt, std::optional<Address> node);
  Task<WireReply> ask(std::size_t attempt, std::string text, Instant deadline);
  // pauses, and closes at any message
  Task<void> rest(Duration pause);
  bool open() const { return channel_ && channel_->usable(); }
  char state() const { return state_; }
  std::size_t number() const { return number_; }
  const Address& node() const { return node_; }
  std::set<std::string>& prepared() { return prepared_; }
  std::size_t& setAt() { return setAt_; }
  void close();
  void drop();
  void newTry() { tryId_ = freshId(); }

 private:
  std::string freshId();
  Clock& clock_;
  LineLink& link_;
  World& world_;
  ClientHistory& history_;
  const ClientKind& kind_;
  std::unique_ptr<WireChannel> channel_;
  std::size_t number_ = 0;
  Address node_;
  char state_ = 'I';
  std::string tryId_;
  std::set<std::string> prepared_;
  std::size_t setAt_ = 0;
};

}  // namespace tamarindshift::testing

#pragma once

#include "base/task_scope.hpp"
#include "tests/platform/standin_entry.hpp"
#include "tests/platform/standin_wire_session.hpp"

namespace tamarindshift::testing {

class StandinWireClients {
 public:
  StandinWireClients(Clock& clock, LineLink& link, World& world, StandinEntry& entry, ClientHistory& history)
      : clock_(clock), link_(link), world_(world), entry_(entry), history_(history) {}
  void start(ClientKind kind);
  // a session directly at each node that is ready, for a database just added or removed
  void visit(const ClientKind& kind, Duration lasting);
  void stop() { stopping_ = true; }
  std::size_t running() const { return running_; }
  // many users at once: pauses are shorter by this
  void press(unsigned times) { press_ = times; }
  void move(const std::string& zone) { zone_ = zone; }
  void stay() { zone_.reset(); }

 private:
  struct Plan {
    std::vector<std::string> steps;
    bool transaction = false;
    bool writes = false;
    bool rollsBack = false;
    bool leaves = false;
  };
  struct Underway {
    std::size_t operation = 0;
    std::size_t attempt = 0;
    Instant deadline{};
    bool sentForGood = false;
  };
  enum class Verdict { served, again, over };

  Task<void> client(std::shared_ptr<const ClientKind> kind, std::uint64_t number);
  Task<void> visitor(std::shared_ptr<const ClientKind> kind, Address node, Instant until);
  Task<void> operation(StandinWireSession& session, const ClientKind& kind, std::uint64_t number,
                       std::optional<Address> visited = std::nullopt);
  Task<Verdict> tryOnce(StandinWireSession& session, const ClientKind& kind, const Plan& plan, Underway& underway,
                        std::optional<Address> node);
  Task<std::optional<Verdict>> names(StandinWireSession& session, const ClientKind& kind, Underway& underway);
  Task<Verdict> steps(StandinWireSession& session, const ClientKind& kind, const Plan& plan, Underway& underway);
  Task<Verdict> afterFailure(StandinWireSession& session, const Plan& plan, Underway& underway, WireReply reply);
  Plan plan(const ClientKind& kind);
  std::string statement(StandinWireSession& session, const std::string& step);
  std::size_t beginTry(const ClientKind& kind, const Plan& plan, std::size_t operation);
  Verdict end(const Underway& underway, TryEnd end, Verdict verdict);
  bool happens(unsigned perThousand) { return perThousand > 0 && world_.chance(perThousand); }

  Clock& clock_;
  LineLink& link_;
  World& world_;
  StandinEntry& entry_;
  ClientHistory& history_;
  bool stopping_ = false;
  std::size_t running_ = 0;
  unsigned press_ = 1;
  std::optional<std::string> zone_;
  std::uint64_t clients_ = 0;
  std::uint64_t written_ = 0;
  TaskScope scope_;
};

}  // namespace tamarindshift::testing

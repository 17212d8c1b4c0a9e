#pragma once

#include "base/clock.hpp"
#include "base/task_scope.hpp"
#include "edge/line_link.hpp"
#include "simulated/world.hpp"

namespace tamarindshift::testing {

/// Clients that break the wire's rules: noise, messages cut short, floods that nobody reads, messages beyond the limit.
/// None of them sends a statement that a database may run.
class RudeClients {
 public:
  RudeClients(Clock& clock, LineLink& link, World& chance) : clock_(clock), link_(link), chance_(chance) {}
  /// So many of them at one node, for so long.
  void visit(const Address& front, const std::string& hostName, std::size_t amount, Duration lasting);

 private:
  Task<void> client(Address front, std::string hostName, Instant until);
  std::string misbehaviour(const std::string& hostName);

  Clock& clock_;
  LineLink& link_;
  World& chance_;
  TaskScope scope_;
};

}  // namespace tamarindshift::testing

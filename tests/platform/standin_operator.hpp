#pragma once

#include "base/gate.hpp"
#include "base/task_scope.hpp"
#include "edge/web_link.hpp"
#include "simulated/world.hpp"
#include "tests/platform/operator_history.hpp"

namespace tamarindshift::testing {

// two of them race where they share a history
class StandinOperator {
 public:
  using Nodes = std::function<std::vector<Address>()>;
  StandinOperator(Clock& clock, WebLink& web, World& world, OperatorHistory& history, Nodes nodes)
      : clock_(clock), web_(web), world_(world), history_(history), nodes_(std::move(nodes)) {}
  // sent to any node until there is a clear answer; its place in the history
  std::size_t replace(const PlatformConfiguration& configuration);
  std::size_t replaceWith(std::string body, bool valid);
  void retrieve(Duration span);
  std::size_t underway() const { return underway_; }

 private:
  Task<void> send(std::size_t place, std::string body);
  Task<void> read(Duration span);
  std::optional<Address> node();
  Clock& clock_;
  WebLink& web_;
  World& world_;
  OperatorHistory& history_;
  Nodes nodes_;
  std::size_t underway_ = 0;
  std::uint64_t next_ = 0;
  TaskScope scope_;
};

}  // namespace tamarindshift::testing

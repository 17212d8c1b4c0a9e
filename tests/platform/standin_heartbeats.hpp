#pragma once

#include "base/task_scope.hpp"
#include "edge/web_link.hpp"
#include "tests/platform/service_history.hpp"
#include "tests/platform/standin_wire_database.hpp"

namespace tamarindshift::testing {

struct StandinHeartbeatsSettings {
  Duration heartbeat = 1200ms;
  Duration drain = 7s;
  std::string revision = "v1";
};

// the heartbeats of one database, and its planned end
class StandinHeartbeats {
 public:
  using Nodes = std::function<std::vector<Address>()>;
  StandinHeartbeats(Clock& clock, WebLink& web, World& world, StandinWireDatabase& database, ServiceHistory& history, Nodes nodes,
                    StandinHeartbeatsSettings settings);
  ~StandinHeartbeats() {
    database_.roleChanged = [] {};
  }
  // a change is told at once
  void tell() { news_.open(); }
  // quiescing, then Detach, then `ended`
  void quiesce();
  std::function<void()> ended = [] {};
  std::uint64_t acknowledged() const { return acknowledged_; }

 private:
  Task<void> heartbeat();
  Task<void> leave();
  Task<std::optional<Address>> send(std::string call);
  std::string body();
  Clock& clock_;
  WebLink& web_;
  World& world_;
  StandinWireDatabase& database_;
  ServiceHistory& history_;
  Nodes nodes_;
  StandinHeartbeatsSettings settings_;
  std::optional<Address> target_;
  std::uint64_t calls_ = 0;
  std::uint64_t acknowledged_ = 0;
  bool quiescing_ = false;
  std::optional<Instant> quiescingTakenAt_;
  Gate news_;
  Gate taken_;
  TaskScope scope_;
};

}  // namespace tamarindshift::testing

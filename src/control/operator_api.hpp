#pragma once

#include "control/replica_node.hpp"

namespace tamarindshift {

/// HTTP API of a replica for operators and databases: plan, heartbeat, Detach, members, status, counters and readiness.
class OperatorApi : public DoorKeeper {
 public:
  explicit OperatorApi(ReplicaNode& replica, Clock& clock) : replica_(replica), clock_(clock) {}
  Task<DoorReply> serve(DoorRequest request) override;
  void gone(ConnectionId) override {}

 private:
  ReplicaNode& replica_;
  Clock& clock_;
};

}  // namespace tamarindshift

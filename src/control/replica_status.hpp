#pragma once

#include <nlohmann/json_fwd.hpp>

#include "control/replica_node.hpp"

namespace tamarindshift {

/// The reply to GET /status: engine, members, services, databases and nodes as this replica knows them.
nlohmann::json replicaStatus(const ReplicaNode& replica, Instant now);

}  // namespace tamarindshift

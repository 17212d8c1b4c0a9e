#pragma once

#include <nlohmann/json_fwd.hpp>

#include "control/replica_node.hpp"

namespace tamarindshift {

// what an operator sees of a replica, made when it is asked for
nlohmann::json replicaStatus(const ReplicaNode& replica, Instant now);

}  // namespace tamarindshift

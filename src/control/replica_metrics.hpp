#pragma once

#include <string>

#include "control/replica_node.hpp"

namespace tamarindshift {

/// The metrics page of a replica.
std::string replicaMetrics(ReplicaNode& replica, Instant now);

}  // namespace tamarindshift

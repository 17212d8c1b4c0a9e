#pragma once

#include <string>

#include "control/replica_node.hpp"

namespace tamarindshift {

/// The figures of a replica as a page of metrics.
std::string replicaMetrics(ReplicaNode& replica, Instant now);

}  // namespace tamarindshift

#pragma once

#include <set>

#include "base/address.hpp"
#include "base/timings.hpp"
#include "engine/replication_engine.hpp"

namespace tamarindshift {

/// Settings of a replica of the control plane.
struct ReplicaSettings {
  /// Address for other members and nodes.
  Address address;
  Zone zone;
  /// Members that the replica contacts first.
  std::set<Address> seeds;
  Timings timings;
  EngineBounds bounds;
  /// Whether the replica may form a new group with its seeds; only for the first start of the whole system.
  bool mayBootstrap = true;
  /// Machines of the group that may fail at once; 0 never removes an absent member automatically.
  std::size_t toleratedLosses = 0;
  /// Whether replicas ration connections of overloaded databases by precedence of the work. All replicas must support it
  /// (docs/operating.md).
  bool rations = false;
};

}  // namespace tamarindshift

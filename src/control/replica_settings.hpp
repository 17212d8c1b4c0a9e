#pragma once

#include <set>

#include "base/address.hpp"
#include "base/timings.hpp"
#include "engine/replication_engine.hpp"

namespace tamarindshift {

struct ReplicaSettings {
  Address address;
  Zone zone;
  std::set<Address> seeds;
  Timings timings;
  EngineBounds bounds;
  bool mayBootstrap = true;
  // machines of the group that may be lost at once; 0 lets no member go by itself
  std::size_t toleratedLosses = 0;
  // whether nodes are told which work a crowded database gets first; all replicas must know how (docs/operating.md)
  bool rations = false;
};

}  // namespace tamarindshift

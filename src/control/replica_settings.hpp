#pragma once

#include <set>

#include "base/address.hpp"
#include "base/timings.hpp"
#include "engine/replication_engine.hpp"

namespace tamarindshift {

struct ReplicaSettings {
  Address address;
  District district;
  std::set<Address> seeds;
  Timings timings;
  EngineBounds bounds;
  bool mayFound = true;
};

}  // namespace tamarindshift

#pragma once

#include <set>

#include "base/address.hpp"
#include "base/timings.hpp"

namespace tamarindshift {

struct AgentSettings {
  Address address;
  District district;
  std::set<Address> seeds;
  Timings timings;
};

}  // namespace tamarindshift

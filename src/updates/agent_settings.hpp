#pragma once

#include <set>

#include "base/address.hpp"
#include "base/timings.hpp"

namespace tamarindshift {

struct AgentSettings {
  Address address;
  Zone zone;
  std::set<Address> seeds;
  // whether news come with what heartbeats say of databases
  bool databaseReports = true;
  Timings timings;
};

}  // namespace tamarindshift

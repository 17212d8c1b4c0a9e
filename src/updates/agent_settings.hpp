// Settings of an agent.
#pragma once

#include <set>

#include "base/address.hpp"
#include "base/timings.hpp"

namespace tamarindshift {

struct AgentSettings {
  /// The address that replicas and other agents reach this agent at.
  Address address;
  Zone zone;
  /// Replicas to start from; the agent learns the others from them.
  std::set<Address> seeds;
  /// Whether to request what databases report of themselves in heartbeats.
  bool databaseReports = true;
  Timings timings;
};

}  // namespace tamarindshift

#pragma once

// The plan: the configuration of services, their databases, quotas, kinds of routes and machines that an operator gives.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/address.hpp"
#include "control/names.hpp"

namespace tamarindshift {

/// Which databases may serve a kind: the primary only, or replicas within a staleness bound.
enum class Consistency : std::uint8_t { primary = 0, lookups = 1, status = 2 };

/// Default staleness bound of a kind; zero allows the primary only.
inline Duration stalenessBound(Consistency consistency) {
  return consistency == Consistency::primary ? Duration::zero() : consistency == Consistency::lookups ? Duration{1500ms} : Duration{2500ms};
}

struct PlanDatabase {
  Address address;
  /// Most connections that the database accepts.
  std::uint32_t cap = 0;
  std::set<Label> labels;
  MSGPACK_DEFINE(address, cap, labels)
};

/// A leaf of a service's quota tree.
struct PlanBranch {
  /// Most connections of all nodes together.
  std::uint32_t connections = 0;
  /// Connections that each node gets at least, as far as they suffice.
  std::uint32_t floor = 0;
  /// Precedence; work of a lower order goes first.
  std::uint32_t order = 0;
  /// Kinds that name no branch and have all these labels belong to this branch.
  std::set<Label> takes;
  MSGPACK_DEFINE(connections, floor, order, takes)
};

struct PlanService {
  /// Empty if the databases are discovered.
  std::map<DatabaseName, PlanDatabase> databases;
  /// Most connections to each database, all branches together.
  std::uint32_t connections = 0;
  std::map<BranchName, PlanBranch> branches;
  /// Whether databases enrol by heartbeats instead of being listed.
  bool discovered = false;
  /// Synchronous replicas of the databases; 0: acknowledged writes may be lost with the primary; unset counts as more than 0.
  std::optional<std::uint32_t> syncReplicas;
  /// Whether acknowledged writes must survive a failover.
  bool keepsAcknowledgedWrites() const { return syncReplicas != 0u; }
  MSGPACK_DEFINE(databases, connections, branches, discovered, syncReplicas)
};

/// A kind of route: which service, branch, machines and databases serve it, and within which bounds.
struct PlanKind {
  ServiceName service;
  BranchName branch;
  Consistency consistency = Consistency::primary;
  /// Machines that serve the kind have all these labels; all machines if empty.
  std::set<Label> machines;
  /// Databases that serve the kind have all these labels; all databases if empty.
  std::set<Label> databases;
  /// Labels of the kind itself; a branch may take it by them.
  std::set<Label> labels;
  /// Staleness bound; without it the one of the consistency holds.
  std::optional<Duration> staleness;
  /// Time within which a statement must be answered.
  std::optional<Duration> statementTimeout;
  /// Response time that the kind aims for.
  std::optional<Duration> targetLatency;
  /// Precedence; work of a lower order goes first.
  std::uint32_t order = 0;
  /// Requests for this host and path prefix belong to the kind.
  std::string host;
  std::string prefix;
  Duration stalenessBound() const { return staleness.value_or(tamarindshift::stalenessBound(consistency)); }
  MSGPACK_DEFINE(service, branch, consistency, machines, databases, labels, staleness, statementTimeout, targetLatency, order, host, prefix)
};

struct Plan {
  /// Version of the plan.
  PlanVersion mark;
  std::map<ServiceName, PlanService> services;
  std::map<Address, std::set<Label>> machines;
  std::map<KindName, PlanKind> kinds;
  /// Weight of machines with a label in the distribution of connections.
  std::map<Label, std::uint32_t> weights;
  /// Limits of access nodes by name.
  std::map<std::string, std::uint64_t> limits;
  /// Text that is stored with the plan and not interpreted.
  std::string annotation;
  /// The highest weight of the machine's labels; 1 if none has a weight.
  std::uint32_t weightOf(const Address& machine) const;
  MSGPACK_DEFINE(mark, services, machines, kinds, weights, limits, annotation)
};

}  // namespace tamarindshift

MSGPACK_ADD_ENUM(tamarindshift::Consistency)

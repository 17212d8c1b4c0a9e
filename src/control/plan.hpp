#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/address.hpp"
#include "control/names.hpp"

namespace tamarindshift {

enum class Consistency : std::uint8_t { primary = 0, lookups = 1, status = 2 };

inline Duration stalenessBound(Consistency consistency) {
  return consistency == Consistency::primary ? Duration::zero() : consistency == Consistency::lookups ? Duration{1500ms} : Duration{2500ms};
}

struct PlanDatabase {
  Address address;
  std::uint32_t cap = 0;
  std::set<Label> labels;
  MSGPACK_DEFINE(address, cap, labels)
};

struct PlanBranch {
  std::uint32_t connections = 0;
  std::uint32_t floor = 0;
  std::uint32_t order = 0;
  std::set<Label> takes;
  MSGPACK_DEFINE(connections, floor, order, takes)
};

struct PlanService {
  std::map<DatabaseName, PlanDatabase> databases;
  std::uint32_t connections = 0;
  std::map<BranchName, PlanBranch> branches;
  bool discovered = false;
  std::optional<std::uint32_t> syncReplicas;
  bool keepsAcknowledgedWrites() const { return syncReplicas != 0u; }
  MSGPACK_DEFINE(databases, connections, branches, discovered, syncReplicas)
};

struct PlanKind {
  ServiceName service;
  BranchName branch;
  Consistency consistency = Consistency::primary;
  std::set<Label> machines;
  std::set<Label> databases;
  std::set<Label> labels;
  std::optional<Duration> staleness;
  std::optional<Duration> statementTimeout;
  std::optional<Duration> targetLatency;
  std::uint32_t order = 0;
  std::string host;
  std::string prefix;
  Duration stalenessBound() const { return staleness.value_or(tamarindshift::stalenessBound(consistency)); }
  MSGPACK_DEFINE(service, branch, consistency, machines, databases, labels, staleness, statementTimeout, targetLatency, order, host, prefix)
};

struct Plan {
  PlanVersion mark;
  std::map<ServiceName, PlanService> services;
  std::map<Address, std::set<Label>> machines;
  std::map<KindName, PlanKind> kinds;
  std::map<Label, std::uint32_t> weights;
  std::map<std::string, std::uint64_t> limits;
  std::string annotation;
  std::uint32_t weightOf(const Address& machine) const;
  MSGPACK_DEFINE(mark, services, machines, kinds, weights, limits, annotation)
};

}  // namespace tamarindshift

MSGPACK_ADD_ENUM(tamarindshift::Consistency)

#pragma once

#include <map>
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
  MSGPACK_DEFINE(databases, connections, branches)
};

struct PlanKind {
  ServiceName service;
  BranchName branch;
  Consistency consistency = Consistency::primary;
  std::set<Label> machines;
  std::set<Label> databases;
  std::set<Label> labels;
  MSGPACK_DEFINE(service, branch, consistency, machines, databases, labels)
};

struct Plan {
  PlanMark mark;
  std::map<ServiceName, PlanService> services;
  std::map<Address, std::set<Label>> machines;
  std::map<KindName, PlanKind> kinds;
  std::map<Label, std::uint32_t> weights;
  std::uint32_t weightOf(const Address& machine) const;
  MSGPACK_DEFINE(mark, services, machines, kinds, weights)
};

}  // namespace tamarindshift

MSGPACK_ADD_ENUM(tamarindshift::Consistency)

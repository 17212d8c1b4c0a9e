#pragma once

#include "control/plan.hpp"

namespace tamarindshift {

struct ServiceNews {
  PlanMark mark;
  PlanService service;
  std::map<KindName, PlanKind> kinds;
};

struct PrimaryNews {
  Epoch epoch;
  DatabaseName primary;
  bool promoted = false;
  bool planned = false;
  MSGPACK_DEFINE(epoch, primary, promoted, planned)
};

struct DatabaseNews {
  Address address;
  Zone zone;
  std::uint32_t capacity = 0;
  MSGPACK_DEFINE(address, zone, capacity)
};

struct ShareNews {
  std::map<BranchName, std::uint32_t> most;
  MSGPACK_DEFINE(most)
};

struct NodeNews {
  Zone zone;
  bool draining = false;
  std::set<Label> labels;
  std::uint64_t boot = 0;
  std::uint64_t enrolledAt = 0;
  MSGPACK_DEFINE(zone, draining, labels, boot, enrolledAt)
};

struct FleetPlanNews {
  PlanMark mark;
  std::map<KindName, ServiceName> kinds;
  std::map<std::string, std::uint64_t> limits;
};

}  // namespace tamarindshift

#pragma once

#include "control/plan.hpp"

namespace tamarindshift {

struct PublishedServicePlan {
  PlanVersion mark;
  PlanService service;
  std::map<KindName, PlanKind> kinds;
};

struct PublishedPrimary {
  Epoch epoch;
  DatabaseName primary;
  bool promoted = false;
  bool plannedSwitchover = false;
  MSGPACK_DEFINE(epoch, primary, promoted, plannedSwitchover)
};

struct PublishedDatabase {
  Address address;
  Zone zone;
  std::uint32_t capacity = 0;
  MSGPACK_DEFINE(address, zone, capacity)
};

struct PublishedShare {
  std::map<BranchName, std::uint32_t> connections;
  MSGPACK_DEFINE(connections)
};

struct PublishedNode {
  Zone zone;
  bool draining = false;
  std::set<Label> labels;
  std::uint64_t boot = 0;
  std::uint64_t enrolledAt = 0;
  MSGPACK_DEFINE(zone, draining, labels, boot, enrolledAt)
};

struct PublishedFleetPlan {
  PlanVersion mark;
  std::map<KindName, ServiceName> kinds;
  std::map<std::string, std::uint64_t> limits;
};

}  // namespace tamarindshift

#pragma once

// What replicas publish to subscribers: the decoded parts of the topic tables of the fleet and of each service.

#include "control/plan.hpp"

namespace tamarindshift {

/// The part of the plan that concerns one service.
struct PublishedServicePlan {
  PlanVersion mark;
  PlanService service;
  std::map<KindName, PlanKind> kinds;
};

/// Entry `primary` of a service's table.
struct PublishedPrimary {
  Epoch epoch;
  DatabaseName primary;
  /// Whether the primary is confirmed to lead.
  bool promoted = false;
  /// Whether this epoch began with an orderly hand-over by the former primary.
  bool plannedSwitchover = false;
  MSGPACK_DEFINE(epoch, primary, promoted, plannedSwitchover)
};

/// Entry of a discovered database in its service's table.
struct PublishedDatabase {
  Address address;
  Zone zone;
  std::uint32_t capacity = 0;
  MSGPACK_DEFINE(address, zone, capacity)
};

/// Share of one node: its most connections by branch.
struct PublishedShare {
  std::map<BranchName, std::uint32_t> connections;
  MSGPACK_DEFINE(connections)
};

/// Entry of an access node in the fleet's table.
struct PublishedNode {
  Zone zone;
  bool draining = false;
  std::set<Label> labels;
  std::uint64_t boot = 0;
  /// Position of the enrolment in the green order.
  std::uint64_t enrolledAt = 0;
  MSGPACK_DEFINE(zone, draining, labels, boot, enrolledAt)
};

/// The part of the plan that every node needs.
struct PublishedFleetPlan {
  PlanVersion mark;
  /// The service of each kind.
  std::map<KindName, ServiceName> kinds;
  std::map<std::string, std::uint64_t> limits;
};

}  // namespace tamarindshift

#pragma once

// Messages that replicas receive periodically: reports of access nodes and heartbeats of databases.

#include "control/plan.hpp"
#include "control/ration.hpp"

namespace tamarindshift {

/// State of one service at one access node.
struct ServiceReport {
  /// Position of the newest update that the node complies with: its open connections fit the share that the update grants.
  std::uint64_t appliedPosition = 0;
  /// Epoch of the primary that the node works with.
  Epoch epoch;
  /// Highest log position of a write that the node has acknowledged to a client.
  LogPosition acknowledged;
  /// Connections that the node could use now, by branch.
  std::map<BranchName, std::uint32_t> connectionDemand;
  /// Databases that the node cannot reach at present.
  std::set<DatabaseName> suspects;
  /// Whether the node had work for the service recently.
  bool hasRecentWork = false;
  /// Databases that the node reaches but finds overloaded.
  std::set<DatabaseName> strained;
  /// Demand on each database since the last report, by the order (precedence) of the work.
  std::map<DatabaseName, DemandByOrder> demands;
  bool operator==(const ServiceReport&) const = default;
  MSGPACK_DEFINE(appliedPosition, epoch, acknowledged, connectionDemand, suspects, hasRecentWork, strained, demands)
};

/// Periodic report of an access node to the replicas; either full or a delta to an earlier one.
struct NodeReport {
  Address node;
  Zone zone;
  /// Identifies the run of the node's process; a restart changes it.
  std::uint64_t boot = 0;
  bool draining = false;
  /// Version of the plan that the node follows.
  PlanVersion mark;
  /// Remaining time of the node's longest lease.
  Duration lease{};
  std::map<ServiceName, ServiceReport> services;
  /// False for a delta: services that it does not name are unchanged since the base report of this boot.
  bool full = true;
  /// Rises with each report.
  std::uint64_t number = 0;
  /// Number of the report that a delta is based on; 0 if any earlier report of this boot will do.
  std::uint64_t baseNumber = 0;
  MSGPACK_DEFINE(node, zone, boot, draining, mark, lease, services, full, number, baseNumber)
};

/// Heartbeat of a database, also sent as its Detach.
struct DatabaseHeartbeat {
  ServiceName service;
  DatabaseName database;
  /// Rises when the database restarts; 0 if it reports no boot number.
  std::uint64_t boot = 0;
  /// Rises with each heartbeat of a boot.
  std::uint64_t number = 0;
  /// "primary" or "replica".
  std::string role;
  /// Epoch and position of the last entry of its log.
  Epoch epoch;
  Position position;
  /// Time since a replica last had contact with its primary.
  Duration contactAge{};
  /// Whether the database drains before it leaves.
  bool leaving = false;
  /// Empty where the plan lists the database with its address.
  Address address;
  Zone zone;
  /// Connections that the database accepts.
  std::uint32_t capacity = 0;
  MSGPACK_DEFINE(service, database, boot, number, role, epoch, position, contactAge, leaving, address, zone, capacity)
};

}  // namespace tamarindshift

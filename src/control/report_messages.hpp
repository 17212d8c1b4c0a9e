#pragma once

#include "control/plan.hpp"
#include "control/ration.hpp"

namespace tamarindshift {

struct ServiceReport {
  std::uint64_t appliedPosition = 0;
  Epoch epoch;
  LogPosition acknowledged;
  std::map<BranchName, std::uint32_t> connectionDemand;
  std::set<DatabaseName> suspects;
  bool hasRecentWork = false;
  std::set<DatabaseName> strained;
  // what work of each order asked of databases since the last report
  std::map<DatabaseName, OrderedDemand> demands;
  bool operator==(const ServiceReport&) const = default;
  MSGPACK_DEFINE(appliedPosition, epoch, acknowledged, connectionDemand, suspects, hasRecentWork, strained, demands)
};

struct NodeReport {
  Address node;
  Zone zone;
  std::uint64_t boot = 0;
  bool draining = false;
  PlanVersion mark;
  Duration lease{};
  std::map<ServiceName, ServiceReport> services;
  // false: services that are not named are as the last report of this boot said
  bool full = true;
  // rises with each report; one that is not whole goes on from the report `after`, if that is not 0
  std::uint64_t number = 0;
  std::uint64_t baseNumber = 0;
  MSGPACK_DEFINE(node, zone, boot, draining, mark, lease, services, full, number, baseNumber)
};

struct DatabaseHeartbeat {
  ServiceName service;
  DatabaseName database;
  std::uint64_t boot = 0;
  std::uint64_t number = 0;
  std::string role;
  Epoch epoch;
  Position position;
  Duration contactAge{};
  bool leaving = false;
  Address address;
  Zone zone;
  std::uint32_t capacity = 0;
  MSGPACK_DEFINE(service, database, boot, number, role, epoch, position, contactAge, leaving, address, zone, capacity)
};

}  // namespace tamarindshift

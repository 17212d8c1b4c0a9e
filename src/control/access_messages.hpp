#pragma once

#include "control/plan.hpp"
#include "control/ration.hpp"

namespace tamarindshift {

struct ServiceReport {
  std::uint64_t followed = 0;
  Epoch epoch;
  Place acknowledged;
  std::map<BranchName, std::uint32_t> wanted;
  std::set<DatabaseName> suspects;
  bool working = false;
  std::set<DatabaseName> strained;
  // what work of each order asked of databases since the last report
  std::map<DatabaseName, DemandByOrder> demands;
  bool operator==(const ServiceReport&) const = default;
  MSGPACK_DEFINE(followed, epoch, acknowledged, wanted, suspects, working, strained, demands)
};

struct NodeReport {
  Address node;
  Zone zone;
  std::uint64_t boot = 0;
  bool draining = false;
  PlanMark mark;
  Duration lease{};
  std::map<ServiceName, ServiceReport> services;
  // false: services that are not named are as the last report of this boot said
  bool whole = true;
  // rises with each report; one that is not whole goes on from the report `after`, if that is not 0
  std::uint64_t number = 0;
  std::uint64_t after = 0;
  MSGPACK_DEFINE(node, zone, boot, draining, mark, lease, services, whole, number, after)
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

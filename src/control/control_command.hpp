#pragma once

#include "control/plan.hpp"
#include "control/ration.hpp"

namespace tamarindshift {

enum class ControlCommandType : std::uint8_t {
  plan = 1,
  drainDatabase = 2,
  returnDatabase = 3,
  recovery = 4,
  promoted = 5,
  shares = 6,
  enrolNode = 7,
  drainNode = 8,
  removeNode = 9,
  enrolDatabase = 10,
  removeDatabase = 11,
  ration = 12,
};

struct ControlCommand {
  ControlCommandType type{};
  std::uint64_t dutyEpoch = 0;
  std::string body;
  MSGPACK_DEFINE(type, dutyEpoch, body)
};

struct PlanCommand {
  std::string text;
  MSGPACK_DEFINE(text)
};

/// A drain or removal of a database. An empty service stands for whichever service the database is enrolled with.
struct DatabaseCommand {
  ServiceName service;
  DatabaseName database;
  std::uint64_t boot = 0;
  std::uint64_t number = 0;
  bool detached = false;
  MSGPACK_DEFINE(service, database, boot, number, detached)
};

struct EnrolmentCommand {
  ServiceName service;
  DatabaseName database;
  Address address;
  Zone zone;
  std::uint32_t capacity = 0;
  std::uint64_t boot = 0;
  std::uint64_t number = 0;
  std::string role;
  MSGPACK_DEFINE(service, database, address, zone, capacity, boot, number, role)
};

struct RecoveryCommand {
  ServiceName service;
  Epoch oldEpoch;
  DatabaseName chosen;
  std::string reason;
  bool plannedSwitchover = false;
  /// The newest term that the chosen database told before it was chosen.
  Epoch chosenTerm{};
  MSGPACK_DEFINE(service, oldEpoch, chosen, reason, plannedSwitchover, chosenTerm)
};

struct PromotedCommand {
  ServiceName service;
  Epoch epoch;
  /// The term in which the database leads, as it told.
  Epoch term{};
  MSGPACK_DEFINE(service, epoch, term)
};

using Grants = std::map<Address, std::map<BranchName, std::uint32_t>>;

struct SharesCommand {
  ServiceName service;
  std::uint64_t basis = 0;
  Grants grants;
  Grants reserved;
  MSGPACK_DEFINE(service, basis, grants, reserved)
};

// without a ration the database is rationed no more
struct RationCommand {
  ServiceName service;
  DatabaseName database;
  std::optional<Ration> ration;
  MSGPACK_DEFINE(service, database, ration)
};

struct NodeCommand {
  Address node;
  Zone zone;
  std::uint64_t boot = 0;
  MSGPACK_DEFINE(node, zone, boot)
};

}  // namespace tamarindshift

MSGPACK_ADD_ENUM(tamarindshift::ControlCommandType)

#pragma once

// Commands of the replicated control state. Each is the update of one action in the green order; ControlState applies it.

#include "control/plan.hpp"
#include "control/ration.hpp"

namespace tamarindshift {

/// Selects the body of a command. The numbers are part of the stored log.
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

/// Envelope of a command.
struct ControlCommand {
  ControlCommandType type{};
  /// Index of the primary component whose duty holder sent the command; 0 if it was not sent by a duty holder. Commands of a
  /// lower duty epoch than the highest one applied are rejected.
  std::uint64_t dutyEpoch = 0;
  /// The packed command of that type.
  std::string body;
  MSGPACK_DEFINE(type, dutyEpoch, body)
};

/// Puts a new plan into force.
struct PlanCommand {
  /// The plan as JSON text.
  std::string text;
  MSGPACK_DEFINE(text)
};

/// Drains a database, ends its drain (return) or removes it. An empty service stands for the service that the database is
/// enrolled with.
struct DatabaseCommand {
  ServiceName service;
  DatabaseName database;
  /// Boot and number of the heartbeat that asked for the drain.
  std::uint64_t boot = 0;
  std::uint64_t number = 0;
  /// Whether the database sent Detach: it does not come back.
  bool detached = false;
  MSGPACK_DEFINE(service, database, boot, number, detached)
};

/// Enrols a database that was discovered by its heartbeat, or updates its address.
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

/// Chooses the next primary of a service and raises the epoch.
struct RecoveryCommand {
  ServiceName service;
  /// The command is rejected unless this is the service's epoch.
  Epoch oldEpoch;
  DatabaseName chosen;
  std::string reason;
  /// Whether the former primary still serves and hands over in an orderly way.
  bool plannedSwitchover = false;
  /// The newest term that the chosen database reported before it was chosen.
  Epoch chosenTerm{};
  MSGPACK_DEFINE(service, oldEpoch, chosen, reason, plannedSwitchover, chosenTerm)
};

/// Confirms that the chosen primary of an epoch leads.
struct PromotedCommand {
  ServiceName service;
  Epoch epoch;
  /// The term in which the database leads, as it reported.
  Epoch term{};
  MSGPACK_DEFINE(service, epoch, term)
};

/// Connections by node and branch.
using Grants = std::map<Address, std::map<BranchName, std::uint32_t>>;

/// Replaces the shares of a service.
struct SharesCommand {
  ServiceName service;
  /// Position of the shares that the new ones were computed from; the command is rejected if they have changed since.
  std::uint64_t basis = 0;
  Grants grants;
  /// Connections that nodes which leave or do not report may still hold; nobody else gets them.
  Grants reserved;
  MSGPACK_DEFINE(service, basis, grants, reserved)
};

/// Sets the ration of a database, or ends it if there is no ration.
struct RationCommand {
  ServiceName service;
  DatabaseName database;
  std::optional<Ration> ration;
  MSGPACK_DEFINE(service, database, ration)
};

/// Enrols, drains or removes an access node.
struct NodeCommand {
  Address node;
  Zone zone;
  std::uint64_t boot = 0;
  MSGPACK_DEFINE(node, zone, boot)
};

}  // namespace tamarindshift

MSGPACK_ADD_ENUM(tamarindshift::ControlCommandType)

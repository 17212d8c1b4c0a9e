#pragma once

#include "engine/engine_messages.hpp"
#include "engine/engine_state.hpp"
#include "group/configuration.hpp"
#include "group/delivery.hpp"

// Records in the store of an engine. Numbers and field order are part of the stored format.

namespace tamarindshift {

enum class EngineRecordKind : std::uint8_t {
  identity = 1,
  snapshot = 2,
  meta = 3,
  /// An own action that has not come back in the order yet.
  ongoing = 4,
  red = 5,
  /// Only the id of an action that a `red` record holds.
  green = 6,
  /// A durable message of the group that was received and is not delivered yet.
  received = 7,
};

/// Envelope of all records.
struct EngineRecord {
  EngineRecordKind kind{};
  std::string body;
  MSGPACK_DEFINE(kind, body)
};

/// Written before a server takes part in anything, so that a restart keeps its identity.
struct IdentityRecord {
  ServerId serverId;
  /// The servers with which this one wants to found the group or has founded it; empty after a join.
  std::set<ServerId> foundingMembers;
  /// Whether this server is a member of a group, by founding or by joining it.
  bool founded = false;
  MSGPACK_DEFINE(serverId, foundingMembers, founded)
};

/// The engine's state except for its actions, written at each change.
struct MetaRecord {
  EngineState state = EngineState::nonPrim;
  Configuration conf;
  std::uint64_t actionIndex = 0;
  std::uint64_t attemptIndex = 0;
  PrimComponent primComponent;
  Vulnerable vulnerable;
  Yellow yellow;
  std::map<ServerId, std::uint64_t> greenLines;
  std::set<ServerId> cpcs;
  MSGPACK_DEFINE(state, conf, actionIndex, attemptIndex, primComponent, vulnerable, yellow, greenLines, cpcs)
};

}  // namespace tamarindshift

MSGPACK_ADD_ENUM(tamarindshift::EngineRecordKind)

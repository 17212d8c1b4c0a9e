#pragma once

#include "engine/engine_messages.hpp"
#include "engine/engine_state.hpp"
#include "group/configuration.hpp"
#include "group/delivery.hpp"

namespace tamarindshift {

enum class EngineRecordKind : std::uint8_t {
  identity = 1,
  snapshot = 2,
  meta = 3,
  ongoing = 4,
  red = 5,
  green = 6,
  received = 7,
};

struct EngineRecord {
  EngineRecordKind kind{};
  std::string body;
  MSGPACK_DEFINE(kind, body)
};

struct IdentityRecord {
  ServerId serverId;
  std::set<ServerId> foundingMembers;
  bool founded = false;
  MSGPACK_DEFINE(serverId, foundingMembers, founded)
};

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

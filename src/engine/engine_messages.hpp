#pragma once

#include <map>

#include "engine/action.hpp"
#include "engine/prim_component.hpp"
#include "engine/vulnerable.hpp"
#include "engine/yellow.hpp"
#include "group/view_id.hpp"

namespace tamarindshift {

enum class EngineMessageType : std::uint8_t { action = 1, state = 2, cpc = 3, green = 4, red = 5, snapshot = 6, endOfTurn = 7 };

struct EngineMessage {
  EngineMessageType type{};
  std::string body;
  MSGPACK_DEFINE(type, body)
};

struct StateMessage {
  ServerId serverId;
  ViewId confId;
  std::map<ServerId, std::uint64_t> redCut;
  std::uint64_t greenLine = 0;
  std::uint64_t greenKeptFrom = 0;
  std::uint64_t attemptIndex = 0;
  PrimComponent primComponent;
  Vulnerable vulnerable;
  Yellow yellow;
  std::set<ServerId> lost;
  MSGPACK_DEFINE(serverId, confId, redCut, greenLine, greenKeptFrom, attemptIndex, primComponent, vulnerable, yellow, lost)
};

struct CpcMessage {
  ServerId serverId;
  ViewId confId;
  MSGPACK_DEFINE(serverId, confId)
};

struct GreenMessage {
  std::uint64_t position = 0;
  Action action;
  MSGPACK_DEFINE(position, action)
};

struct EngineSnapshot {
  std::uint64_t greenLine = 0;
  std::map<ServerId, std::uint64_t> greenCut;
  std::map<ServerId, std::uint64_t> greenLines;
  std::set<ServerId> left;
  std::string application;
  MSGPACK_DEFINE(greenLine, greenCut, greenLines, left, application)
};

}  // namespace tamarindshift

MSGPACK_ADD_ENUM(tamarindshift::EngineMessageType)

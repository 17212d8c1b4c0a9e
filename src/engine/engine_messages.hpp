#pragma once

#include <map>

#include "engine/action.hpp"
#include "engine/prim_component.hpp"
#include "engine/vulnerable.hpp"
#include "engine/yellow.hpp"
#include "group/view_id.hpp"

// Messages between engines, multicast through the group layer. The order of the fields is part of the wire format.

namespace tamarindshift {

/// `green`, `red` and `snapshot` carry what other members lack; `endOfTurn` says that the sender has retransmitted all of it.
enum class EngineMessageType : std::uint8_t { action = 1, state = 2, cpc = 3, green = 4, red = 5, snapshot = 6, endOfTurn = 7 };

/// Envelope of all messages below.
struct EngineMessage {
  EngineMessageType type{};
  std::string body;
  MSGPACK_DEFINE(type, body)
};

/// What a member knows when a configuration starts; all members of it exchange theirs before any decision.
struct StateMessage {
  ServerId serverId;
  ViewId confId;
  /// For each creator: the index of its last action that the sender has, without gaps.
  std::map<ServerId, std::uint64_t> redCut;
  /// Number of actions whose place in the order the sender knows.
  std::uint64_t greenLine = 0;
  /// The sender no longer keeps the green actions up to this position.
  std::uint64_t greenBase = 0;
  std::uint64_t attemptIndex = 0;
  PrimComponent primComponent;
  Vulnerable vulnerable;
  Yellow yellow;
  /// Members whose data is lost: a server with another identity has turned up at their address.
  std::set<ServerId> lostServers;
  MSGPACK_DEFINE(serverId, confId, redCut, greenLine, greenBase, attemptIndex, primComponent, vulnerable, yellow, lostServers)
};

/// Create primary component: the sender is ready to install the primary component of this configuration.
struct CpcMessage {
  ServerId serverId;
  ViewId confId;
  MSGPACK_DEFINE(serverId, confId)
};

/// A green action that another member lacks, with its place in the order.
struct GreenMessage {
  std::uint64_t position = 0;
  Action action;
  MSGPACK_DEFINE(position, action)
};

/// The green state of a member in full: for members that lag far behind, for new ones, and for its own store.
struct EngineSnapshot {
  std::uint64_t greenLine = 0;
  /// For each creator: the index of its last green action.
  std::map<ServerId, std::uint64_t> greenCut;
  /// For each member of the group: its green line as far as it is known.
  std::map<ServerId, std::uint64_t> greenLines;
  /// Servers that were removed and are never admitted again.
  std::set<ServerId> formerMembers;
  std::string application;
  MSGPACK_DEFINE(greenLine, greenCut, greenLines, formerMembers, application)
};

}  // namespace tamarindshift

MSGPACK_ADD_ENUM(tamarindshift::EngineMessageType)

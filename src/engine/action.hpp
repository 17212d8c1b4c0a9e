#pragma once

#include "engine/action_id.hpp"

namespace tamarindshift {

/// A join or a leave changes the persistent members of the group in its place of the order.
enum class ActionType : std::uint8_t { action = 0, persistentJoin = 1, persistentLeave = 2 };

/// The unit that the engine replicates and puts in one order at all members.
struct Action {
  ActionId actionId;
  /// Green line of the creator when it created the action.
  std::uint64_t greenLine = 0;
  ActionType type = ActionType::action;
  /// The server that joins or leaves; unused for other actions.
  ServerId subject;
  /// What the application applies; empty for joins and leaves.
  std::string update;
  MSGPACK_DEFINE(actionId, greenLine, type, subject, update)
};

}  // namespace tamarindshift

MSGPACK_ADD_ENUM(tamarindshift::ActionType)

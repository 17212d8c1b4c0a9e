#pragma once

#include "engine/action_id.hpp"

namespace tamarindshift {

enum class ActionType : std::uint8_t { action = 0, persistentJoin = 1, persistentLeave = 2 };

struct Action {
  ActionId actionId;
  std::uint64_t greenLine = 0;
  ActionType type = ActionType::action;
  ServerId subject;
  std::string update;
  MSGPACK_DEFINE(actionId, greenLine, type, subject, update)
};

}  // namespace tamarindshift

MSGPACK_ADD_ENUM(tamarindshift::ActionType)

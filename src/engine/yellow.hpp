#pragma once

#include <vector>

#include "engine/action_id.hpp"

namespace tamarindshift {

/// Actions that were ordered while a primary component ended: its other members may have made them green, in this order.
struct Yellow {
  bool valid = false;
  std::vector<ActionId> actionIds;
  MSGPACK_DEFINE(valid, actionIds)
};

}  // namespace tamarindshift

#pragma once

#include <vector>

#include "engine/action_id.hpp"

namespace tamarindshift {

struct Yellow {
  bool valid = false;
  std::vector<ActionId> actionIds;
  MSGPACK_DEFINE(valid, actionIds)
};

}  // namespace tamarindshift

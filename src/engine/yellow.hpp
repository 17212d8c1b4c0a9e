#pragma once

#include <vector>

#include "engine/action_id.hpp"

namespace tamarindshift {

struct Yellow {
  bool valid = false;
  std::vector<ActionId> set;
  MSGPACK_DEFINE(valid, set)
};

}  // namespace tamarindshift

#pragma once

#include <set>

#include "group/view_id.hpp"

namespace tamarindshift {

struct Configuration {
  ViewId confId;
  std::set<ServerId> set;
  MSGPACK_DEFINE(confId, set)
};

}  // namespace tamarindshift

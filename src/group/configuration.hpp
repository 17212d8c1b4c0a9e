#pragma once

#include <set>

#include "group/view_id.hpp"

namespace tamarindshift {

struct Configuration {
  ViewId confId;
  std::set<ServerId> members;
  MSGPACK_DEFINE(confId, members)
};

}  // namespace tamarindshift

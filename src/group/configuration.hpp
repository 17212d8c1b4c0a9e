#pragma once

#include <set>

#include "group/view_id.hpp"

namespace tamarindshift {

/// A regular configuration of Extended Virtual Synchrony: a view and the servers in it.
struct Configuration {
  ViewId confId;
  std::set<ServerId> members;
  MSGPACK_DEFINE(confId, members)
};

}  // namespace tamarindshift

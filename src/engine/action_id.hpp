#pragma once

#include "wire/server_id.hpp"

namespace tamarindshift {

/// The creator of an action and its number there, from 1 on without gaps.
struct ActionId {
  ServerId serverId;
  std::uint64_t index = 0;
  auto operator<=>(const ActionId&) const = default;
  bool operator==(const ActionId&) const = default;
  MSGPACK_DEFINE(serverId, index)
};

}  // namespace tamarindshift

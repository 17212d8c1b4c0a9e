#pragma once

#include "wire/server_id.hpp"

namespace tamarindshift {

struct ActionId {
  ServerId serverId;
  std::uint64_t index = 0;
  auto operator<=>(const ActionId&) const = default;
  bool operator==(const ActionId&) const = default;
  MSGPACK_DEFINE(serverId, index)
};

}  // namespace tamarindshift

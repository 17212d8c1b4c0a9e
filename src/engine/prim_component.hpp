#pragma once

#include <set>

#include "wire/server_id.hpp"

namespace tamarindshift {

struct PrimComponent {
  std::uint64_t primIndex = 0;
  std::uint64_t attemptIndex = 0;
  std::set<ServerId> servers;
  bool operator==(const PrimComponent&) const = default;
  MSGPACK_DEFINE(primIndex, attemptIndex, servers)
};

}  // namespace tamarindshift

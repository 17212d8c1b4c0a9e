#pragma once

#include <set>

#include "wire/server_id.hpp"

namespace tamarindshift {

/// The last primary component that a member knows of. Its indices order all primary components.
struct PrimComponent {
  std::uint64_t primIndex = 0;
  /// The attempt at which it was installed.
  std::uint64_t attemptIndex = 0;
  std::set<ServerId> servers;
  bool operator==(const PrimComponent&) const = default;
  MSGPACK_DEFINE(primIndex, attemptIndex, servers)
};

}  // namespace tamarindshift

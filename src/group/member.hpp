#pragma once

#include "wire/server_id.hpp"

namespace tamarindshift {

/// Identifies one run of a process; it differs after each start.
using Boot = Strong<struct BootTag, std::uint64_t>;

/// A server as a participant of views: after a restart of its process it is another member.
struct Member {
  ServerId server;
  Boot boot;
  auto operator<=>(const Member&) const = default;
  bool operator==(const Member&) const = default;
  MSGPACK_DEFINE(server, boot)
};

}  // namespace tamarindshift

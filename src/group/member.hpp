#pragma once

#include "wire/server_id.hpp"

namespace tamarindshift {

using Boot = Strong<struct BootTag, std::uint64_t>;

struct Member {
  ServerId server;
  Boot boot;
  auto operator<=>(const Member&) const = default;
  bool operator==(const Member&) const = default;
  MSGPACK_DEFINE(server, boot)
};

}  // namespace tamarindshift

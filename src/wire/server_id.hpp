#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "base/address.hpp"
#include "wire/pack.hpp"

namespace tamarindshift {

/// Distinguishes servers that had the same address one after the other; a later one has a higher number.
using Incarnation = Strong<struct IncarnationTag, std::uint64_t>;

/// Identity of a core server with its data: it survives restarts, and a server that starts with an empty disk has another one.
struct ServerId {
  Address address;
  Incarnation incarnation;
  auto operator<=>(const ServerId&) const = default;
  bool operator==(const ServerId&) const = default;
  MSGPACK_DEFINE(address, incarnation)
};

/// For logs and status: the address and the last five digits of the incarnation.
inline std::string text(const ServerId& server) {
  return server.address.get() + "#" + std::to_string(server.incarnation.get() % 100000);
}

}  // namespace tamarindshift

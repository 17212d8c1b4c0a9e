#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "base/address.hpp"
#include "wire/pack.hpp"

namespace tamarindshift {

using Incarnation = Strong<struct IncarnationTag, std::uint64_t>;

struct ServerId {
  Address address;
  Incarnation incarnation;
  auto operator<=>(const ServerId&) const = default;
  bool operator==(const ServerId&) const = default;
  MSGPACK_DEFINE(address, incarnation)
};

inline std::string text(const ServerId& server) {
  return server.address.get() + "#" + std::to_string(server.incarnation.get() % 100000);
}

}  // namespace tamarindshift

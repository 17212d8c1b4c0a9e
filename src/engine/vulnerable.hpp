#pragma once

#include <set>

#include "wire/server_id.hpp"

namespace tamarindshift {

struct Vulnerable {
  bool valid = false;
  std::uint64_t primIndex = 0;
  std::uint64_t attemptIndex = 0;
  std::set<ServerId> members;
  std::set<ServerId> bits;
  bool sameAttempt(const Vulnerable& other) const {
    return valid == other.valid && primIndex == other.primIndex && attemptIndex == other.attemptIndex && members == other.members;
  }
  MSGPACK_DEFINE(valid, primIndex, attemptIndex, members, bits)
};

}  // namespace tamarindshift

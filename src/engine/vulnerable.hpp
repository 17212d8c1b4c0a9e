#pragma once

#include <set>

#include "wire/server_id.hpp"

namespace tamarindshift {

struct Vulnerable {
  bool valid = false;
  std::uint64_t primIndex = 0;
  std::uint64_t attemptIndex = 0;
  std::set<ServerId> set;
  std::set<ServerId> bits;
  bool sameAttempt(const Vulnerable& other) const {
    return valid == other.valid && primIndex == other.primIndex && attemptIndex == other.attemptIndex && set == other.set;
  }
  MSGPACK_DEFINE(valid, primIndex, attemptIndex, set, bits)
};

}  // namespace tamarindshift

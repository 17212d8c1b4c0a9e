#pragma once

#include <set>

#include "wire/server_id.hpp"

namespace tamarindshift {

/// While `valid`: this member has sent its CPC for an attempt to install a primary component and does not know how the attempt
/// ended. It forms no quorum until it has learned that.
struct Vulnerable {
  bool valid = false;
  std::uint64_t primIndex = 0;
  std::uint64_t attemptIndex = 0;
  /// The members of the configuration of that attempt.
  std::set<ServerId> members;
  /// The members of the attempt that have been met since, or whose data is lost; once these are all, nobody can know more.
  std::set<ServerId> bits;
  bool sameAttempt(const Vulnerable& other) const {
    return valid == other.valid && primIndex == other.primIndex && attemptIndex == other.attemptIndex && members == other.members;
  }
  MSGPACK_DEFINE(valid, primIndex, attemptIndex, members, bits)
};

}  // namespace tamarindshift

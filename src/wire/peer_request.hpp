#pragma once

#include "wire/pack.hpp"

namespace tamarindshift {

/// A request to a peer. `attempt` is 0 if no reply is wanted. `boot` tells the lives of the asking process apart:
/// a reply to one that ended must not reach the next one at the same address.
struct PeerRequest {
  std::uint64_t attempt = 0;
  std::uint64_t boot = 0;
  std::string subject;
  std::string body;
  MSGPACK_DEFINE(attempt, boot, subject, body)
};

/// A reply names attempt and boot of the request that it belongs to.
struct PeerReply {
  std::uint64_t attempt = 0;
  std::uint64_t boot = 0;
  std::string body;
  MSGPACK_DEFINE(attempt, boot, body)
};

}  // namespace tamarindshift

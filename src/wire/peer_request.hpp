#pragma once

#include "wire/pack.hpp"

// Requests between processes and their replies, as they are sent over a `PeerLink`.

namespace tamarindshift {

struct PeerRequest {
  /// Number of the request, unique within one run of the sender; 0 if no reply is wanted.
  std::uint64_t attempt = 0;
  /// Identifies the run of the sending process: a reply to an earlier run must not reach the next one at the same address.
  std::uint64_t boot = 0;
  /// Selects the handler at the receiver.
  std::string subject;
  std::string body;
  MSGPACK_DEFINE(attempt, boot, subject, body)
};

/// Repeats `attempt` and `boot` of the request that it answers.
struct PeerReply {
  std::uint64_t attempt = 0;
  std::uint64_t boot = 0;
  std::string body;
  MSGPACK_DEFINE(attempt, boot, body)
};

}  // namespace tamarindshift

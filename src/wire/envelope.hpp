#pragma once

#include <cstdint>
#include <string>

// The unit that a `PeerLink` carries between two processes.

namespace tamarindshift {

/// Type of a message between processes. The numbers are part of the wire format.
enum class MessageType : std::uint8_t {
  groupHeartbeat = 1,
  groupSubmit = 2,
  groupOrdered = 3,
  groupAcked = 4,
  groupSafe = 5,
  groupPrepare = 6,
  groupFlushed = 7,
  groupInstall = 8,
  /// A server asks a member to be admitted to the group.
  joinRequest = 16,
  /// The state that an admitted server starts from.
  joinSnapshot = 17,
  /// Tells a server that it has been removed from the group.
  removalNotice = 18,
  request = 32,
  reply = 33,
};

/// A message: its type, and its packed content.
struct Envelope {
  MessageType type{};
  std::string body;
};

}  // namespace tamarindshift

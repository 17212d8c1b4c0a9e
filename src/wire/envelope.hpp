#pragma once

#include <cstdint>
#include <string>

namespace tamarindshift {

enum class MessageType : std::uint8_t {
  groupHeartbeat = 1,
  groupSubmit = 2,
  groupOrdered = 3,
  groupAcked = 4,
  groupSafe = 5,
  groupPrepare = 6,
  groupFlushed = 7,
  groupInstall = 8,
  joinRequest = 16,
  joinSnapshot = 17,
  removalNotice = 18,
  request = 32,
  reply = 33,
};

struct Envelope {
  MessageType type{};
  std::string body;
};

}  // namespace tamarindshift

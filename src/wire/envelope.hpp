#pragma once

#include <cstdint>
#include <string>

namespace tamarindshift {

enum class Matter : std::uint8_t {
  groupHeartbeat = 1,
  groupSubmit = 2,
  groupOrdered = 3,
  groupAcked = 4,
  groupSafe = 5,
  groupPrepare = 6,
  groupFlushed = 7,
  groupInstall = 8,
  joinAsk = 16,
  joinSnapshot = 17,
  leftNotice = 18,
  ask = 32,
  reply = 33,
};

struct Envelope {
  Matter matter{};
  std::string body;
};

}  // namespace tamarindshift

#pragma once

#include <map>
#include <memory>
#include <optional>

#include "edge/door.hpp"
#include "proxy/pooled_connection.hpp"

namespace tamarindshift {

using SessionId = Strong<struct SessionIdTag, std::string>;

struct Session {
  SessionId id;
  KindName kind;
  ConnectionId clientConnection;
  std::map<ServiceName, Position> own;
  std::shared_ptr<PooledConnection> pinned;
  bool stateful = false;
  bool inTransaction = false;
  bool stateLost = false;
  bool transactionLost = false;
  bool busy = false;
  bool left = false;
  bool closing = false;
  Instant usedAt{};
};

}  // namespace tamarindshift

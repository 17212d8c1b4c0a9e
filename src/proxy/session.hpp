// A client session at the proxy.
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
  /// The HTTP connection that the last request came on.
  ConnectionId clientConnection;
  /// For each service, the position that a replica must have reached to serve reads of this session (read your writes).
  std::map<ServiceName, Position> minPositions;
  /// The connection held for a transaction or for session state.
  std::shared_ptr<PooledConnection> pinned;
  /// Has prepared statements or values that were set at its connection.
  bool stateful = false;
  bool inTransaction = false;
  /// The connection with that state was lost: all further requests are refused.
  bool stateLost = false;
  /// The transaction was lost between two requests: the next request is refused.
  bool transactionLost = false;
  /// A request is underway.
  bool busy = false;
  /// The client disconnected while a request was underway.
  bool clientLeft = false;
  bool closing = false;
  Instant lastUsedAt{};
};

}  // namespace tamarindshift

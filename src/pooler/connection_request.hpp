/// A statement's or transaction's request for a database connection.
#pragma once

#include <set>

#include "base/gate.hpp"
#include "pooler/client_session.hpp"

namespace tamarindshift {

enum class ConnectionRequestState { waiting, granted, refused };

struct ConnectionRequest {
  /// Arrival number, given by the queue.
  std::uint64_t number = 0;
  /// Precedence; lower values are served first.
  std::uint32_t order = 0;
  const ClientSession* session = nullptr;
  KindName kind;
  /// Whether only the primary will do.
  bool atPrimary = true;
  /// When the statement arrived.
  Instant arrivedAt{};
  /// When this request began to wait; later than `arrivedAt` for a repeated attempt.
  Instant requestedAt{};
  /// The request is refused if it has no connection by then.
  Instant waitUntil{};
  /// Databases at which an earlier attempt failed; used only if there is no other.
  std::set<DatabaseName> avoid;
  /// The prepared statement to be executed and its name, if there is one.
  const PreparedStatement* neededPrepared = nullptr;
  std::string neededName;
  ConnectionRequestState state = ConnectionRequestState::waiting;
  /// Whether a ration has held it back.
  bool rationed = false;
  /// Set when it is granted.
  std::shared_ptr<PooledBackEnd> connection;
  /// The least log position for a read at a replica.
  std::optional<LogPosition> minPosition;
  /// Why it was refused.
  StatementFault fault = StatementFault::none;
  std::string reason;
  /// Opens when it is granted or refused.
  Gate decided;
};

}  // namespace tamarindshift

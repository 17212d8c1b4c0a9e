/// A database connection as the pool keeps it.
#pragma once

#include <map>

#include "pooler/back_end.hpp"

namespace tamarindshift {

/// What a name was prepared as.
struct PreparedStatement {
  bool writes = false;
  std::string shape;
  bool operator==(const PreparedStatement&) const = default;
};

struct ClientSession;

/// A connection with the session state that is set on it and the work it does.
struct PooledBackEnd {
  DatabaseTarget target;
  std::unique_ptr<BackEndConnection> link;
  /// The session variables and prepared names that are set on the connection.
  std::map<std::string, std::string> values;
  std::map<std::string, PreparedStatement> prepared;
  /// Whether those may differ from what the database has; the connection is reset before its next use.
  bool stateUnknown = false;
  /// Whether it was granted for work that needs the primary, in `epoch`.
  bool asPrimary = false;
  Epoch epoch;
  /// The precedence of its work.
  std::uint32_t order = 0;
  /// Whether a statement is running.
  bool running = false;
  /// Whether the pool has closed it; it is removed once no statement runs.
  bool dropped = false;
  /// The session that uses it; null while it is idle or being rolled back.
  const ClientSession* holder = nullptr;
  /// When its last statement began, or when it was returned.
  Instant usedAt{};
};

}  // namespace tamarindshift

// A connection of the pool, idle or in use.
#pragma once

#include "proxy/database_link.hpp"

namespace tamarindshift {

struct Session;

struct PooledConnection {
  ServiceName service;
  DatabaseName database;
  Address address;
  /// The branch whose share the connection counts against while it is busy.
  BranchName branch;
  /// The kind of the request that it was last used for.
  KindName kind;
  /// The epoch of the primary when the connection was last chosen for a request.
  Epoch epoch;
  std::unique_ptr<DatabaseConnection> link;
  /// The session that holds the connection for a transaction or session state.
  std::weak_ptr<Session> pinnedBy;
  /// Since when the plan or the share of its branch no longer allows this use of the connection.
  std::optional<Instant> mismatchSince;
  /// A request is underway on it.
  bool running = false;
  /// Set by `ConnectionPool::drop`: closed, and never used again.
  bool dropped = false;
};

}  // namespace tamarindshift

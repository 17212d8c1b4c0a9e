/// State of a client's session, kept by the pooler independently of the connections that run its statements.
#pragma once

#include <memory>

#include "control/plan.hpp"
#include "pooler/pooled_back_end.hpp"
#include "pooler/statement_trace.hpp"

namespace tamarindshift {

/// An open transaction; it gets a connection with its first statement at a database.
struct ClientTransaction {
  Statement begin;
  KindName kind;
  bool readOnly = false;
  bool failed = false;
  /// Whether the client has been told that it failed.
  bool failureReported = false;
  bool wrote = false;
  /// Whether values or prepared names were set on its connection; a rollback may undo them there.
  bool stateApplied = false;
  /// Null before the first statement and after a failure.
  std::shared_ptr<PooledBackEnd> connection;
};

struct ClientSession {
  std::string host;
  /// The session's variables as set by SET.
  std::map<std::string, std::string> values;
  std::map<std::string, PreparedStatement> prepared;
  std::optional<ClientTransaction> transaction;
  /// Per service, the log position of the session's last commit; its own reads must not be older.
  std::map<ServiceName, LogPosition> lastCommitPositions;
  /// Whether a statement is in progress.
  bool busy = false;
  Instant usedAt{};
  /// Of the statement in progress, or of the last one.
  StatementTrace trace;
};

}  // namespace tamarindshift

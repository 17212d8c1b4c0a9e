/// Interface to the databases behind the pooler: connections that run statements, and the connector that opens them.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "base/task.hpp"
#include "base/time.hpp"
#include "control/database_control.hpp"
#include "pooler/statement.hpp"
#include "pooler/statement_fault.hpp"
#include "pooler/transaction_state.hpp"

namespace tamarindshift {

/// How far a statement got. `unsent`: no byte was written. `lost`: bytes were written but no complete reply arrived, so
/// the statement may have run.
enum class BackEndOutcome { replied, unsent, lost };

/// The result of one statement on a connection; all fields but `outcome` count only if a reply arrived.
struct BackEndReply {
  BackEndOutcome outcome = BackEndOutcome::unsent;
  StatementFault fault = StatementFault::none;
  std::string reason;
  std::vector<std::string> rows;
  /// The database's completion tag, which goes to the client unchanged.
  std::string stamp;
  /// Of the connection, after the statement.
  TransactionState state = TransactionState::idle;
  /// The database's log position, if the reply carried it.
  std::optional<LogPosition> logPosition;
};

/// One connection to a database; it runs one statement at a time.
class BackEndConnection {
 public:
  virtual ~BackEndConnection() = default;
  /// Runs a statement; one without an id comes from the pooler itself. The database's log must have reached `minPosition`.
  /// At `deadline` the outcome is `lost` and the connection is no longer usable.
  virtual Task<BackEndReply> run(Statement statement, std::optional<LogPosition> minPosition, Instant deadline) = 0;
  virtual bool usable() const = 0;
  virtual void close() = 0;
};

struct BackEndOpenResult {
  /// Null if no connection was established; `fault` says why if the database answered.
  std::unique_ptr<BackEndConnection> connection;
  StatementFault fault = StatementFault::none;
  /// Whether the database answered at all, even with a refusal.
  bool answered = false;
  std::optional<LogPosition> logPosition;
};

/// Opens connections to databases.
class BackEndConnector {
 public:
  virtual ~BackEndConnector() = default;
  virtual Task<BackEndOpenResult> open(DatabaseTarget target, Instant deadline) = 0;
};

}  // namespace tamarindshift

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

// unsent: no byte went out; lost: some did and no whole reply came
enum class BackEndOutcome { replied, unsent, lost };

struct BackEndReply {
  BackEndOutcome outcome = BackEndOutcome::unsent;
  StatementFault fault = StatementFault::none;
  std::string reason;
  std::vector<std::string> rows;
  std::string stamp;
  TransactionState state = TransactionState::idle;
  std::optional<Place> logPosition;
};

class BackEndConnection {
 public:
  virtual ~BackEndConnection() = default;
  // a statement without id is one of ours; `after` is the least place the database's log must hold.
  // At the deadline the reply is lost and the connection is no longer usable.
  virtual Task<BackEndReply> run(Statement statement, std::optional<Place> minPosition, Instant deadline) = 0;
  virtual bool usable() const = 0;
  virtual void close() = 0;
};

struct BackEndOpenResult {
  std::unique_ptr<BackEndConnection> connection;
  StatementFault fault = StatementFault::none;
  bool answered = false;
  std::optional<Place> logPosition;
};

class BackEndConnector {
 public:
  virtual ~BackEndConnector() = default;
  virtual Task<BackEndOpenResult> open(DatabaseTarget target, Instant deadline) = 0;
};

}  // namespace tamarindshift

/// The reply to a statement of a client.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "pooler/statement_fault.hpp"
#include "pooler/transaction_state.hpp"

namespace tamarindshift {

struct StatementReply {
  StatementFault fault = StatementFault::none;
  std::string reason;
  /// When the client is asked to retry, if it may.
  std::optional<Duration> retryAfter;
  std::vector<std::string> rows;
  /// The database's completion tag; `-` if the pooler answered itself.
  std::string stamp;
  /// Of the session, after the statement.
  TransactionState state = TransactionState::idle;
};

/// The success of a statement that the pooler answers itself.
inline StatementReply localReply(TransactionState state) {
  StatementReply reply;
  reply.stamp.assign(1, '-');
  reply.state = state;
  return reply;
}

}  // namespace tamarindshift

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
  std::optional<Duration> retryAfter;
  std::vector<std::string> rows;
  std::string stamp;
  TransactionState state = TransactionState::idle;
};

// the reply to what the pooler answers itself
inline StatementReply localReply(TransactionState state) {
  StatementReply reply;
  reply.stamp.assign(1, '-');
  reply.state = state;
  return reply;
}

}  // namespace tamarindshift

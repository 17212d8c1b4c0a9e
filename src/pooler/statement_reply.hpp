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
  std::optional<Duration> comeBack;
  std::vector<std::string> rows;
  std::string stamp;
  TransactionState state = TransactionState::idle;
};

}  // namespace tamarindshift

#pragma once

#include <memory>

#include "control/plan.hpp"
#include "pooler/pooled_back_end.hpp"
#include "pooler/statement_trace.hpp"

namespace tamarindshift {

struct ClientTransaction {
  Statement begin;
  KindName kind;
  bool readOnly = false;
  bool failed = false;
  bool failureReported = false;
  bool wrote = false;
  // values or names were laid on its connection, which a rollback may take back
  bool stateApplied = false;
  std::shared_ptr<PooledBackEnd> connection;
};

struct ClientSession {
  std::string host;
  std::map<std::string, std::string> values;
  std::map<std::string, PreparedStatement> prepared;
  std::optional<ClientTransaction> transaction;
  std::map<ServiceName, Place> lastCommitPositions;
  bool busy = false;
  Instant usedAt{};
  /// Of the statement under way, or of the last one.
  StatementTrace trace;
};

}  // namespace tamarindshift

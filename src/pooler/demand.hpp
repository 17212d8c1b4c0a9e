#pragma once

#include <set>

#include "base/gate.hpp"
#include "pooler/client_session.hpp"

namespace tamarindshift {

enum class DemandStage { waiting, granted, refused };

struct Demand {
  std::uint64_t number = 0;
  std::uint32_t order = 0;
  const ClientSession* session = nullptr;
  KindName kind;
  bool atPrimary = true;
  Instant arrivedAt{};
  /// When this demand began to wait; `arrivedAt` is when its statement came.
  Instant askedAt{};
  Instant holdUntil{};
  std::set<DatabaseName> avoid;
  const PreparedStatement* wantsPrepared = nullptr;
  std::string preparedName;
  DemandStage stage = DemandStage::waiting;
  bool rationed = false;
  std::shared_ptr<PooledBackEnd> connection;
  std::optional<LogPosition> after;
  StatementFault fault = StatementFault::none;
  std::string reason;
  Gate decided;
};

}  // namespace tamarindshift

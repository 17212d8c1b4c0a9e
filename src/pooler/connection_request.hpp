#pragma once

#include <set>

#include "base/gate.hpp"
#include "pooler/client_session.hpp"

namespace tamarindshift {

enum class ConnectionRequestState { waiting, granted, refused };

struct ConnectionRequest {
  std::uint64_t number = 0;
  std::uint32_t order = 0;
  const ClientSession* session = nullptr;
  KindName kind;
  bool atPrimary = true;
  Instant arrivedAt{};
  /// When this demand began to wait; `arrivedAt` is when its statement came.
  Instant requestedAt{};
  Instant waitUntil{};
  std::set<DatabaseName> avoid;
  const PreparedStatement* neededPrepared = nullptr;
  std::string neededName;
  ConnectionRequestState state = ConnectionRequestState::waiting;
  bool rationed = false;
  std::shared_ptr<PooledBackEnd> connection;
  std::optional<Place> minPosition;
  StatementFault fault = StatementFault::none;
  std::string reason;
  Gate decided;
};

}  // namespace tamarindshift

#pragma once

#include "base/address.hpp"
#include "tests/platform/route_class.hpp"
#include "tests/platform/wire_reply.hpp"

namespace tamarindshift::testing {

struct ClientStatement {
  std::string id;
  std::string text;
  Instant sentAt{};
  std::optional<Instant> endedAt;
  WireReply reply;
};

// unknown: no answer, or one that promises nothing
enum class TryEnd { underway, served, rolledBack, promised, failed, unknown, left };

struct ClientTry {
  std::size_t operation = 0;
  std::size_t session = 0;
  Address node;
  std::string hostName;
  RouteClass routeClass = RouteClass::primary;
  Duration staleness{};
  bool transaction = false;
  std::vector<ClientStatement> statements;
  Instant endedAt{};
  TryEnd end = TryEnd::underway;
};

}  // namespace tamarindshift::testing

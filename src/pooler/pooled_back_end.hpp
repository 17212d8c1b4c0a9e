#pragma once

#include <map>

#include "pooler/back_end.hpp"

namespace tamarindshift {

struct PreparedStatement {
  bool writes = false;
  std::string shape;
  bool operator==(const PreparedStatement&) const = default;
};

struct ClientSession;

struct PooledBackEnd {
  DatabaseTarget target;
  std::unique_ptr<BackEndConnection> link;
  std::map<std::string, std::string> values;
  std::map<std::string, PreparedStatement> prepared;
  bool stateUnknown = false;
  bool asPrimary = false;
  Epoch epoch;
  std::uint32_t order = 0;
  bool running = false;
  bool dropped = false;
  /// The session whose statements it carries; none while it is idle or rolled back.
  const ClientSession* holder = nullptr;
  Instant usedAt{};
};

}  // namespace tamarindshift

#pragma once

#include <map>

#include "pooler/back_end.hpp"

namespace tamarindshift {

struct PreparedStatement {
  bool writes = false;
  std::string shape;
  bool operator==(const PreparedStatement&) const = default;
};

struct PooledBackEnd {
  DatabaseTarget target;
  std::unique_ptr<BackEndConnection> link;
  std::map<std::string, std::string> values;
  std::map<std::string, PreparedStatement> prepared;
  bool dubious = false;
  bool asPrimary = false;
  Epoch epoch;
  std::uint32_t order = 0;
  bool running = false;
  bool cut = false;
  Instant usedAt{};
};

}  // namespace tamarindshift

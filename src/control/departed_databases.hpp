#pragma once

#include <map>

#include "control/names.hpp"

namespace tamarindshift {

/// Ids of databases that said Detach, so that a heartbeat that was delayed on its way does not bring one back.
/// Part of the replicated control state; the `most` that left last are kept. Ids are not used again by the platform.
class DepartedDatabases {
 public:
  static constexpr std::size_t most = 4096;

  bool contains(const DatabaseName& database) const { return leftAt_.contains(database); }
  std::size_t size() const { return leftAt_.size(); }

  /// Notes that a database left; `position` is that of the action in the green order.
  void note(const DatabaseName& database, std::uint64_t position) {
    if (!leftAt_.try_emplace(database, position).second) return;
    order_.emplace(position, database);
    if (order_.size() <= most) return;
    leftAt_.erase(order_.begin()->second);
    order_.erase(order_.begin());
  }

 private:
  std::map<DatabaseName, std::uint64_t> leftAt_;
  std::map<std::uint64_t, DatabaseName> order_;

 public:
  MSGPACK_DEFINE(leftAt_, order_)
};

}  // namespace tamarindshift

#pragma once

#include <map>

#include "control/names.hpp"

namespace tamarindshift {

/// Ids of databases that were detached, so that a delayed heartbeat does not enrol one again.
///
/// Part of the replicated control state. The last `maxEntries` ids are kept; the platform does not reuse ids.
class DepartedDatabases {
 public:
  static constexpr std::size_t maxEntries = 4096;

  bool contains(const DatabaseName& database) const { return positions_.contains(database); }
  std::size_t size() const { return positions_.size(); }

  /// Adds a database; `position` is the index of the Detach in the total order of actions. An id that is known is left as it is.
  void add(const DatabaseName& database, std::uint64_t position) {
    if (!positions_.try_emplace(database, position).second) return;
    byPosition_.emplace(position, database);
    if (byPosition_.size() <= maxEntries) return;
    positions_.erase(byPosition_.begin()->second);
    byPosition_.erase(byPosition_.begin());
  }

 private:
  std::map<DatabaseName, std::uint64_t> positions_;
  std::map<std::uint64_t, DatabaseName> byPosition_;

 public:
  MSGPACK_DEFINE(positions_, byPosition_)
};

}  // namespace tamarindshift

#pragma once

#include <set>

#include "control/ration.hpp"
#include "pooler/primary_position_history.hpp"

namespace tamarindshift {

// what a pooler keeps of a service between its news
struct ServiceTracker {
  Epoch observedEpoch;
  Epoch confirmedEpoch;
  DatabaseName primary;
  Instant finishUntil{};
  Instant lastLeasedAt{};
  std::set<DatabaseName> suspects;
  std::set<DatabaseName> strained;
  std::map<DatabaseName, DemandByOrder> demands;
  PrimaryPositionHistory primaryPositions;
  Instant lastWorkAt{};
  double connectionDemand = 0;
  std::uint64_t appliedMark = 0;
  LogPosition acknowledgedPosition;
};

}  // namespace tamarindshift

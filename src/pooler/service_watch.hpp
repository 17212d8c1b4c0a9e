#pragma once

#include <set>

#include "control/ration.hpp"
#include "pooler/freshness.hpp"

namespace tamarindshift {

// what a pooler keeps of a service between its news
struct ServiceWatch {
  Epoch seen;
  Epoch confirmed;
  DatabaseName primary;
  Instant finishUntil{};
  Instant leasedAt{};
  std::set<DatabaseName> suspects;
  std::set<DatabaseName> strained;
  std::map<DatabaseName, DemandByOrder> demands;
  Freshness freshness;
  Instant workedAt{};
  double demand = 0;
  std::uint64_t followed = 0;
  Place acknowledged;
};

}  // namespace tamarindshift

#pragma once

#include <set>

#include "base/clock.hpp"
#include "tests/platform/database_fabric.hpp"

namespace tamarindshift::testing {

/// The real side of DatabaseFabric: databases in one process that replicate to each other unless they are cut.
class SoakFabric : public DatabaseFabric {
 public:
  SoakFabric(Clock& clock, World& chance) : clock_(clock), chance_(chance) {}
  World& chance() override { return chance_; }
  Instant now() const override { return clock_.now(); }
  void later(Duration delay, std::function<void()> act) override { clock_.after(delay, std::move(act)); }
  Duration latency() const override { return 300us; }
  bool reaches(const Address& from, const Address& to) const override { return !apart_.contains(from) && !apart_.contains(to); }
  /// Cuts one database off from all others, or joins it again.
  void cutOff(const Address& database, bool cut) {
    if (cut)
      apart_.insert(database);
    else
      apart_.erase(database);
  }

 private:
  Clock& clock_;
  World& chance_;
  std::set<Address> apart_;
};

}  // namespace tamarindshift::testing

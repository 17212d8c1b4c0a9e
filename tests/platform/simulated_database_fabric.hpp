#pragma once

#include "simulated/simulated_line_network.hpp"
#include "tests/platform/database_fabric.hpp"

namespace tamarindshift::testing {

class SimulatedDatabaseFabric : public DatabaseFabric {
 public:
  explicit SimulatedDatabaseFabric(SimulatedLineNetwork& lines) : lines_(lines) {}
  World& chance() override { return lines_.world(); }
  Instant now() const override { return lines_.world().now(); }
  void later(Duration delay, std::function<void()> act) override { lines_.world().at(now() + delay, std::move(act)); }
  Duration latency() const override { return lines_.network().latency(); }
  bool reaches(const Address& from, const Address& to) const override { return lines_.reaches(from, to); }

 private:
  SimulatedLineNetwork& lines_;
};

}  // namespace tamarindshift::testing

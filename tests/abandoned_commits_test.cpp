#include <catch2/catch.hpp>

#include <algorithm>

#include "simulated/simulated_fleet.hpp"

using namespace tamarindshift;

namespace {

bool logged(const SimulatedFleet& fleet, const std::string& text) {
  return std::any_of(fleet.lines().begin(), fleet.lines().end(), [&](const auto& line) {
    return line.find(text) != std::string::npos;
  });
}

}  // namespace

TEST_CASE("a service waits for lost databases until a plan without them abandons what they held") {
  FleetShape shape;
  shape.machines = 3;
  CallerKind kind;
  kind.kind = KindName{"counter1"};
  kind.service = ServiceName{"s1"};
  kind.callers = 6;
  shape.callers = {kind};
  SimulatedFleet fleet(shape, 3);
  fleet.run(1s);
  fleet.sendPlan(0, 1, fleet.planText(StandinPlanChoice{1}), true);
  fleet.run(6s);
  fleet.network().cut("10.2.1.3", "10.2.1.1");
  fleet.network().cut("10.2.1.1", "10.2.1.3");
  fleet.run(500ms);
  fleet.crashDatabase(fleet.database(1, 1));
  fleet.crashDatabase(fleet.database(1, 2));
  fleet.run(20s);
  const auto& state = fleet.replicas()[0]->node->state();
  CHECK(logged(fleet, "no database holds all that was acknowledged"));
  CHECK(state.services().at(ServiceName{"s1"}).epoch == Epoch{1});
  StandinPlanChoice choice{2};
  choice.withoutDatabases = {"s1.d1", "s1.d2"};
  fleet.sendPlan(0, 2, fleet.planText(choice), true);
  fleet.run(15s);
  CHECK(logged(fleet, "abandons acknowledged commits"));
  CHECK(state.services().at(ServiceName{"s1"}).promoted);
  CHECK(state.services().at(ServiceName{"s1"}).primary == DatabaseName{"d3"});
}

#pragma once

#include "simulated/simulated_fleet.hpp"
#include "tests/door_asking.hpp"

namespace tamarindshift {

// a simulated fleet whose doors a test asks itself
struct FleetTrial {
  explicit FleetTrial(FleetShape shape) : fleet(std::move(shape), 1) { fleet.run(1s); }
  void sendFirstPlan(Duration settles) {
    fleet.sendPlan(0, 1, fleet.planText(StandinPlanChoice{1}), true);
    fleet.run(settles);
  }
  DoorReply ask(DoorKeeper& door, DoorRequest request) {
    return answered(door.serve(std::move(request)), [this] {
      fleet.run(100ms);
    });
  }
  static FleetShape machines(std::size_t count) {
    FleetShape shape;
    shape.machines = count;
    return shape;
  }
  SimulatedFleet fleet;
};

}  // namespace tamarindshift

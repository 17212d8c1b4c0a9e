#include <catch2/catch.hpp>

#include "simulated/never_list.hpp"

using namespace tamarindshift;

namespace {

std::vector<std::string> faultsAfterDiskLoss(Duration offset, std::size_t lost, bool restart) {
  FleetShape shape;
  shape.machines = 1;
  SimulatedFleet fleet(shape, 3);
  fleet.run(1s);
  fleet.sendPlan(0, 1, fleet.planText(StandinPlanChoice{1}), true);
  fleet.run(3s);
  fleet.sendPlan(1, 2, fleet.planText(StandinPlanChoice{2}), true);
  fleet.sendPlan(2, 3, fleet.planText(StandinPlanChoice{3, 40}), true);
  fleet.run(offset);
  fleet.killReplica(lost);
  fleet.replicas()[lost]->disk.empty();
  if (restart) {
    for (std::size_t index = 0; index < 3; ++index) fleet.killReplica(index);
    fleet.run(100ms);
  }
  for (std::size_t index = 0; index < 3; ++index) fleet.startReplica(index);
  fleet.run(12s);
  auto faults = NeverList(fleet).check();
  std::size_t proved = 0;
  for (const auto& replica : fleet.replicas()) proved += replica->node->engine().primaryConfirmedAt().has_value();
  if (proved != 3) faults.push_back("only " + std::to_string(proved) + " replicas are back");
  for (const auto& plan : fleet.plans().all())
    if (plan.status == 0 && plan.endedAt == Instant{}) faults.push_back("an operator got no reply");
  return faults;
}

}  // namespace

TEST_CASE("an acknowledged plan survives the loss of any one disk at any point of its acknowledgement") {
  for (auto offset = Duration{0}; offset <= 12ms; offset += 500us)
    for (std::size_t lost = 0; lost < 3; ++lost)
      for (bool restart : {false, true}) {
        auto faults = faultsAfterDiskLoss(offset, lost, restart);
        INFO("offset " << offset.count() << " lost " << lost << " restart " << restart);
        for (const auto& fault : faults) UNSCOPED_INFO(fault);
        REQUIRE(faults.empty());
      }
}

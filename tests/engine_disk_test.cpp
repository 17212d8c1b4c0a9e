// A core member whose disk refuses writes must leave the primary component, lose nothing and rejoin by itself. Guards against
// acknowledging what is only in memory, and against a group that waits for the failing disk.

#include <catch2/catch.hpp>

#include "tests/engine_cluster.hpp"

using namespace tamarindshift;
using namespace tamarindshift::testing;

namespace {

struct RunningCluster : EngineCluster {
  explicit RunningCluster(std::size_t size = 3, std::uint64_t seed = 21) : EngineCluster(size, seed) {
    for (std::size_t index = 0; index < size; ++index) start(index);
    run(3s);
  }
  SimulatedStore& store(std::size_t index) { return *nodes[index]->store; }
  const ReplicationEngine& engine(std::size_t index) { return nodes[index]->core->engine(); }
  bool allInPrimary() const { return primaryMemberCount() == nodes.size(); }
};

void checkFaults(EngineCluster& cluster) {
  cluster.verify();
  for (const auto& fault : cluster.faults) UNSCOPED_INFO(fault);
  CHECK(cluster.faults.empty());
}

}  // namespace

TEST_CASE("a member whose disk refuses writes leaves the view, the others continue, and it rejoins by itself") {
  for (std::size_t failing = 0; failing < 3; ++failing) {
    INFO("member " << failing + 1);
    RunningCluster cluster;
    cluster.store(failing).refuse(true);
    auto before = cluster.acknowledged.size();
    for (int attempt = 0; attempt < 30; ++attempt) {
      cluster.submit((failing + 1 + attempt % 2) % 3);
      cluster.run(100ms);
    }
    CHECK(cluster.acknowledged.size() > before + 15);
    CHECK(cluster.primaryMemberCount() == 2);
    CHECK(cluster.engine(failing).state() != EngineState::regPrim);
    CHECK(cluster.engine(failing).diskFault());
    CHECK_FALSE(cluster.engine(failing).primaryConfirmedAt());
    cluster.store(failing).refuse(false);
    cluster.run(3s);
    CHECK(cluster.allInPrimary());
    checkFaults(cluster);
  }
}

TEST_CASE("a member whose disk refuses writes acknowledges nothing") {
  RunningCluster cluster;
  cluster.store(1).refuse(true);
  cluster.run(1s);
  auto before = cluster.acknowledged.size();
  for (int attempt = 0; attempt < 10; ++attempt) cluster.submit(1);
  cluster.run(5s);
  CHECK(cluster.acknowledged.size() == before);
}

TEST_CASE("no acknowledged update is lost while disks refuse writes in turn, with crashes and store rewrites in between") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    INFO("seed " << seed);
    EngineCluster cluster(3, seed);
    cluster.bounds.maxGreenKept = 5;
    cluster.bounds.rewriteThresholdBytes = 5'000;
    for (std::size_t index = 0; index < 3; ++index) cluster.start(index);
    cluster.run(3s);
    for (int round = 0; round < 25; ++round) {
      auto failing = cluster.world.below(3);
      if (cluster.isUp(failing)) cluster.nodes[failing]->store->refuse(true);
      for (auto attempt = cluster.world.below(8); attempt > 0; --attempt) {
        cluster.submit(cluster.world.below(3));
        cluster.run(Duration{cluster.world.below(150'000)});
      }
      if (cluster.world.below(3) == 0) cluster.kill(failing);
      cluster.run(Duration{cluster.world.below(1'500'000)});
      cluster.start(failing);
      cluster.nodes[failing]->store->refuse(false);
      cluster.run(Duration{cluster.world.below(2'000'000)});
    }
    cluster.run(5s);
    CHECK(cluster.primaryMemberCount() == 3);
    CHECK(cluster.acknowledged.size() > 20);
    checkFaults(cluster);
  }
}

// A core member whose disk refuses writes leaves the primary component, loses nothing and comes back by itself.

#include <catch2/catch.hpp>

#include "tests/engine_cluster.hpp"

using namespace tamarindshift;
using namespace tamarindshift::testing;

namespace {

struct Started : EngineCluster {
  explicit Started(std::size_t size = 3, std::uint64_t seed = 21) : EngineCluster(size, seed) {
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

TEST_CASE("a member whose disk refuses writes leaves, the others go on, and it rejoins by itself") {
  for (std::size_t full = 0; full < 3; ++full) {
    INFO("member " << full + 1);
    Started cluster;
    cluster.store(full).refuse(true);
    auto before = cluster.acknowledged.size();
    for (int amount = 0; amount < 30; ++amount) {
      cluster.submit((full + 1 + amount % 2) % 3);
      cluster.run(100ms);
    }
    CHECK(cluster.acknowledged.size() > before + 15);
    CHECK(cluster.primaryMemberCount() == 2);
    CHECK(cluster.engine(full).state() != EngineState::regPrim);
    CHECK(cluster.engine(full).diskFault());
    CHECK_FALSE(cluster.engine(full).primaryConfirmedAt());
    cluster.store(full).refuse(false);
    cluster.run(3s);
    CHECK(cluster.allInPrimary());
    checkFaults(cluster);
  }
}

TEST_CASE("nothing is acknowledged at a member whose disk refuses writes, and it says so at once") {
  Started cluster;
  cluster.store(1).refuse(true);
  cluster.run(1s);
  auto before = cluster.acknowledged.size();
  for (int amount = 0; amount < 10; ++amount) cluster.submit(1);
  cluster.run(5s);
  CHECK(cluster.acknowledged.size() == before);
}

TEST_CASE("disks that refuse in turn, crashes between, and rewrites meanwhile lose nothing that was acknowledged") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    INFO("seed " << seed);
    EngineCluster cluster(3, seed);
    cluster.bounds.maxGreenKept = 5;
    cluster.bounds.rewriteThresholdBytes = 5'000;
    for (std::size_t index = 0; index < 3; ++index) cluster.start(index);
    cluster.run(3s);
    for (int round = 0; round < 25; ++round) {
      auto full = cluster.world.below(3);
      if (cluster.up(full)) cluster.nodes[full]->store->refuse(true);
      for (auto amount = cluster.world.below(8); amount > 0; --amount) {
        cluster.submit(cluster.world.below(3));
        cluster.run(Duration{cluster.world.below(150'000)});
      }
      if (cluster.world.below(3) == 0) cluster.kill(full);
      cluster.run(Duration{cluster.world.below(1'500'000)});
      cluster.start(full);
      cluster.nodes[full]->store->refuse(false);
      cluster.run(Duration{cluster.world.below(2'000'000)});
    }
    cluster.run(5s);
    CHECK(cluster.primaryMemberCount() == 3);
    CHECK(cluster.acknowledged.size() > 20);
    checkFaults(cluster);
  }
}

// Random schedules of crashes, network cuts, message loss, freezes and disk losses. Guards against members with different orders
// and against the loss of acknowledged updates.
// ENGINE_SEEDS sets the number of seeds (40 otherwise); with ENGINE_LINES set, the log of a failing schedule is printed.

#include <catch2/catch.hpp>

#include <cstdio>
#include <cstdlib>

#include "tests/engine_cluster.hpp"

using namespace tamarindshift;
using namespace tamarindshift::testing;

namespace {

/// Random faults on a cluster.
struct Schedule {
  EngineCluster& cluster;
  bool losesDisks;
  // members that lost their disk since all were last in the primary component; only one of them at a time
  std::set<std::size_t> lostDisks;

  void forgetRecoveredDisks() {
    if (cluster.primaryMemberCount() == cluster.nodes.size()) lostDisks.clear();
  }

  void step() {
    auto& world = cluster.world;
    auto size = cluster.nodes.size();
    auto node = world.below(size);
    auto other = world.below(size);
    forgetRecoveredDisks();
    switch (world.below(12)) {
      case 0:
      case 1:
        cluster.kill(node);
        break;
      case 2:
      case 3:
      case 4:
        cluster.start(node);
        break;
      case 5:
        cluster.network.cut(cluster.host(node), cluster.host(other));
        cluster.network.cut(cluster.host(other), cluster.host(node));
        break;
      case 6:
        cluster.network.cut(cluster.host(node), cluster.host(other));
        break;
      case 7:
        cluster.network.healAll();
        break;
      case 8:
        cluster.network.lose(static_cast<unsigned>(world.below(2) * 100));
        break;
      case 9:
        if (losesDisks && (lostDisks.empty() || lostDisks.contains(node))) {
          cluster.kill(node);
          cluster.nodes[node]->disk.empty();
          lostDisks.insert(node);
        }
        break;
      case 10:
        if (cluster.isUp(node)) cluster.nodes[node]->clock->freeze();
        cluster.run(Duration{world.below(1'200'000)});
        if (cluster.isUp(node)) cluster.nodes[node]->clock->thaw();
        break;
      default:
        for (std::size_t index = 0; index < size; ++index) cluster.start(index);
        cluster.network.healAll();
        cluster.network.lose(0);
        cluster.run(2s);
    }
  }

  void finish() {
    cluster.network.healAll();
    cluster.network.lose(0);
    for (std::size_t index = 0; index < cluster.nodes.size(); ++index) cluster.start(index);
    cluster.run(15s);
  }
};

std::vector<std::string> randomSchedule(std::uint64_t seed, std::size_t size, bool losesDisks, std::size_t greenKept) {
  EngineCluster cluster(size, seed);
  cluster.bounds.maxGreenKept = greenKept;
  cluster.bounds.rewriteThresholdBytes = 20'000;
  for (std::size_t index = 0; index < size; ++index) cluster.start(index);
  cluster.run(3s);
  Schedule schedule{cluster, losesDisks, {}};
  for (int round = 0; round < 60; ++round) {
    schedule.step();
    for (auto amount = cluster.world.below(6); amount > 0; --amount) {
      cluster.submit(cluster.world.below(size));
      cluster.run(Duration{cluster.world.below(8'000)});
    }
    cluster.run(Duration{cluster.world.below(900'000)});
  }
  schedule.finish();
  cluster.verify();
  if (cluster.primaryMemberCount() != size)
    cluster.faults.push_back("only " + std::to_string(cluster.primaryMemberCount()) + " of " + std::to_string(size) +
                             " are in a primary component at the end");
  if (cluster.acknowledged.size() < 10)
    cluster.faults.push_back("only " + std::to_string(cluster.acknowledged.size()) + " actions were acknowledged");
  if (std::getenv("ENGINE_LINES") && !cluster.faults.empty())
    for (const auto& line : cluster.logLines) std::puts(line.c_str());
  return cluster.faults;
}

std::uint64_t seedCount() {
  const char* given = std::getenv("ENGINE_SEEDS");
  return given ? std::strtoull(given, nullptr, 10) : 40;
}

void runSeeds(std::size_t size, bool losesDisks, std::size_t greenKept) {
  for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
    auto faults = randomSchedule(seed, size, losesDisks, greenKept);
    INFO("seed " << seed);
    for (const auto& fault : faults) UNSCOPED_INFO(fault);
    REQUIRE(faults.empty());
  }
}

}  // namespace

TEST_CASE("three engines keep one order through crashes, cuts, losses and freezes") {
  runSeeds(3, false, 2000);
}
TEST_CASE("three engines keep one order and all acknowledged updates when disks are lost one at a time") {
  runSeeds(3, true, 2000);
}
TEST_CASE("five engines keep one order through crashes, cuts, losses and freezes") {
  runSeeds(5, false, 2000);
}
TEST_CASE("engines that discard green actions early keep one order through snapshots") {
  runSeeds(3, true, 3);
}

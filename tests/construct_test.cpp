// Crashes while a primary component is being installed (state Construct), when some members may have installed it and others not.
// Guards against a group that stays blocked, and against two different green orders.

#include <catch2/catch.hpp>

#include "tests/engine_cluster.hpp"

using namespace tamarindshift;
using namespace tamarindshift::testing;

namespace {

constexpr std::size_t nobody = 99;

bool someoneIs(EngineCluster& cluster, EngineState state) {
  for (const auto& node : cluster.nodes)
    if (node->core && node->core->engine().state() == state) return true;
  return false;
}

void runUntilSomeoneIs(EngineCluster& cluster, EngineState state) {
  for (int step = 0; step < 40'000 && !someoneIs(cluster, state); ++step) cluster.run(100us);
  REQUIRE(someoneIs(cluster, state));
}

std::vector<std::string> crashInConstruct(std::uint64_t seed, Duration offset, std::size_t survivor, std::size_t emptiedDisk) {
  EngineCluster cluster(3, seed);
  for (std::size_t index = 0; index < 3; ++index) cluster.start(index);
  cluster.run(2s);
  for (std::size_t index = 0; index < 3; ++index) cluster.submit(index);
  cluster.run(100ms);
  cluster.kill(2);
  cluster.run(1s);
  for (std::size_t index = 0; index < 2; ++index) cluster.submit(index);
  cluster.run(4ms);
  cluster.start(2);
  cluster.run(50ms);
  runUntilSomeoneIs(cluster, EngineState::construct);
  cluster.run(offset);
  for (std::size_t index = 0; index < 3; ++index) {
    cluster.submit(index);
    if (index != survivor) cluster.kill(index);
  }
  if (emptiedDisk != nobody) cluster.nodes[emptiedDisk]->disk.empty();
  cluster.run(700ms);
  for (std::size_t index = 0; index < 3; ++index) cluster.start(index);
  cluster.run(6s);
  for (std::size_t index = 0; index < 3; ++index) cluster.submit(index);
  cluster.run(2s);
  cluster.verify();
  if (cluster.primaryMemberCount() != 3)
    cluster.faults.push_back("only " + std::to_string(cluster.primaryMemberCount()) + " are back in a primary component");
  return cluster.faults;
}

}  // namespace

TEST_CASE("a group that crashes in Construct recovers, also with one disk lost") {
  for (std::uint64_t seed = 1; seed <= 2; ++seed)
    for (auto offset = Duration{0}; offset <= 16ms; offset += 700us)
      for (std::size_t survivor : {nobody, std::size_t{0}, std::size_t{1}})
        for (std::size_t emptiedDisk : {nobody, std::size_t{0}, std::size_t{1}, std::size_t{2}}) {
          if (emptiedDisk == survivor && emptiedDisk != nobody) continue;
          auto faults = crashInConstruct(seed, offset, survivor, emptiedDisk);
          INFO("seed " << seed << " offset " << offset.count() << " survivor " << survivor << " emptied " << emptiedDisk);
          for (const auto& fault : faults) UNSCOPED_INFO(fault);
          REQUIRE(faults.empty());
        }
}

TEST_CASE("a vulnerable member stays blocked while its peers are unreachable") {
  EngineCluster cluster(3, 5);
  for (std::size_t index = 0; index < 3; ++index) cluster.start(index);
  cluster.run(2s);
  cluster.kill(2);
  cluster.run(1s);
  cluster.start(2);
  cluster.run(50ms);
  runUntilSomeoneIs(cluster, EngineState::construct);
  cluster.run(6ms);
  bool vulnerable = true;
  for (std::size_t index = 0; index < 3; ++index) vulnerable = vulnerable && cluster.nodes[index]->core->engine().vulnerable().valid;
  REQUIRE(vulnerable);
  for (std::size_t index = 0; index < 3; ++index) cluster.kill(index);
  cluster.start(1);
  cluster.run(5s);
  CHECK(cluster.primaryMemberCount() == 0);
  for (std::size_t index = 0; index < 3; ++index) cluster.start(index);
  cluster.run(5s);
  CHECK(cluster.primaryMemberCount() == 3);
}

TEST_CASE("an action that an installing member made green before it lost its disk keeps its position through Un") {
  std::size_t vulnerableRuns = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    EngineCluster cluster(3, seed);
    auto cutBoth = [&](std::size_t left, std::size_t right) {
      cluster.network.cut(cluster.host(left), cluster.host(right));
      cluster.network.cut(cluster.host(right), cluster.host(left));
    };
    for (std::size_t index = 0; index < 3; ++index) cluster.start(index);
    cluster.run(2s);
    cutBoth(0, 1);
    cutBoth(0, 2);
    cutBoth(1, 2);
    cluster.run(2s);
    REQUIRE(cluster.primaryMemberCount() == 0);
    cluster.submit(2);
    cluster.run(100ms);
    cluster.network.healAll();
    runUntilSomeoneIs(cluster, EngineState::regPrim);
    const auto& others = {std::size_t{1}, std::size_t{2}};
    for (auto other : others) REQUIRE(cluster.nodes[other]->core->engine().state() == EngineState::construct);
    cutBoth(0, 1);
    cutBoth(0, 2);
    cluster.kill(0);
    cluster.nodes[0]->disk.empty();
    cluster.run(2s);
    for (auto other : others) REQUIRE(cluster.nodes[other]->core->engine().state() == EngineState::nonPrim);
    vulnerableRuns += cluster.nodes[1]->core->engine().vulnerable().valid;
    cluster.submit(1);
    cluster.run(100ms);
    cluster.network.healAll();
    cluster.start(0);
    cluster.run(6s);
    cluster.verify();
    INFO("seed " << seed);
    for (const auto& fault : cluster.faults) UNSCOPED_INFO(fault);
    REQUIRE(cluster.faults.empty());
    REQUIRE(cluster.primaryMemberCount() == 3);
  }
  CHECK(vulnerableRuns > 0);
}

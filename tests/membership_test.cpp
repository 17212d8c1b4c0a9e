#include <catch2/catch.hpp>

#include "tests/engine_cluster.hpp"

using namespace tamarindshift;
using namespace tamarindshift::testing;

TEST_CASE("a removed member learns of its removal when it reconnects, and the white line advances without it") {
  EngineCluster cluster(3, 11);
  for (std::size_t index = 0; index < 3; ++index) cluster.start(index);
  cluster.run(2s);
  auto leaver = cluster.nodes[2]->core->serverId();
  cluster.kill(2);
  cluster.run(2s);
  cluster.submit(0);
  cluster.run(200ms);
  auto& engine = cluster.nodes[0]->core->engine();
  auto white = engine.whiteLine();
  engine.requestLeave(leaver);
  cluster.run(500ms);
  CHECK(engine.members().size() == 2);
  cluster.submit(0);
  cluster.submit(1);
  cluster.run(500ms);
  CHECK(engine.whiteLine() > white);
  cluster.start(2);
  cluster.run(2s);
  CHECK(cluster.nodes[2]->core->removedFromGroup());
  CHECK(cluster.primaryMemberCount() == 2);
  cluster.kill(2);
  cluster.nodes[2]->disk.empty();
  cluster.start(2);
  cluster.run(4s);
  CHECK(cluster.primaryMemberCount() == 3);
  cluster.verify();
  CHECK(cluster.faults.empty());
}

TEST_CASE("a fourth and a fifth core machine join a running group with only the seeds configured") {
  EngineCluster cluster(5, 12);
  for (std::size_t index = 0; index < 3; ++index) cluster.start(index);
  cluster.run(2s);
  for (int amount = 0; amount < 20; ++amount) cluster.submit(amount % 3);
  cluster.run(500ms);
  cluster.start(3);
  cluster.start(4);
  cluster.run(5s);
  CHECK(cluster.primaryMemberCount() == 5);
  cluster.kill(0);
  cluster.kill(1);
  cluster.run(3s);
  CHECK(cluster.primaryMemberCount() == 3);
  cluster.submit(4);
  cluster.run(500ms);
  cluster.kill(2);
  cluster.run(3s);
  CHECK(cluster.primaryMemberCount() == 0);
  for (std::size_t index = 0; index < 5; ++index) cluster.start(index);
  cluster.run(5s);
  CHECK(cluster.primaryMemberCount() == 5);
  cluster.verify();
  for (const auto& fault : cluster.faults) UNSCOPED_INFO(fault);
  CHECK(cluster.faults.empty());
}

TEST_CASE("no group is founded before every seed has been seen") {
  EngineCluster cluster(3, 13);
  cluster.start(0);
  cluster.start(1);
  cluster.run(10s);
  CHECK(cluster.primaryMemberCount() == 0);
  CHECK_FALSE(cluster.nodes[0]->core->engine().isMember());
  cluster.start(2);
  cluster.run(3s);
  CHECK(cluster.primaryMemberCount() == 3);
}

TEST_CASE("outside of a primary component actions wait as red up to a bound and are refused above it") {
  EngineCluster cluster(3, 14);
  for (std::size_t index = 0; index < 3; ++index) cluster.start(index);
  cluster.run(2s);
  cluster.kill(1);
  cluster.kill(2);
  cluster.run(2s);
  auto& engine = cluster.nodes[0]->core->engine();
  REQUIRE(engine.state() == EngineState::nonPrim);
  for (int amount = 0; amount < 100; ++amount) {
    cluster.submit(0);
    cluster.run(10ms);
  }
  CHECK(engine.redCount() + engine.ongoingCount() == cluster.bounds.maxRedActions);
  auto before = engine.greenLine();
  cluster.start(1);
  cluster.run(4s);
  CHECK(engine.greenLine() >= before + cluster.bounds.maxRedActions);
  CHECK(engine.redCount() == 0);
}

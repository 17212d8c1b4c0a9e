// A holder of the duties that stood still, or was cut off, tells nobody to act once another member may hold them.

#include <algorithm>

#include <catch2/catch.hpp>

#include "tests/discovered_cluster.hpp"

using namespace tamarindshift;

namespace {

struct LostDuty : DiscoveredCluster {
  // the primary crashes while the platform takes no calls, so that the holder goes on trying
  LostDuty() {
    own().working = true;
    for (const char* name : {"d2", "d3"}) databases.at(name).promotion = PromotionOutcome::unanswered;
    databases.at("d1").up = false;
    databases.at("d1").heartbeatsStopped = true;
    own().suspects = {DatabaseName{"d1"}};
    REQUIRE(runUntil(5s, [&] {
      return !databases.holders().empty();
    }));
  }

  void platformTakesCalls() {
    for (const char* name : {"d2", "d3"}) databases.at(name).promotion = PromotionOutcome::accepted;
  }

  void cutFirst(bool apart) {
    for (const char* other : {"10.0.0.2", "10.0.0.3"}) {
      apart ? network.cut("10.0.0.1", other) : network.heal("10.0.0.1", other);
      apart ? network.cut(other, "10.0.0.1") : network.heal(other, "10.0.0.1");
    }
  }

  bool fencesNeverFall() const {
    const auto& calls = databases.holders();
    return std::is_sorted(calls.begin(), calls.end(), [](const auto& one, const auto& next) {
      return one.fence < next.fence;
    });
  }

  bool anotherCalled() const {
    const auto& calls = databases.holders();
    return std::any_of(calls.begin(), calls.end(), [](const auto& call) {
      return call.node != Address{"10.0.0.1:1"};
    });
  }
};

}  // namespace

TEST_CASE("a holder of the duties that stood still calls nobody with a lower fence when it wakes") {
  auto before = GENERATE(0ms, 130ms, 410ms, 900ms);
  auto still = GENERATE(range(6, 30, 2));
  CAPTURE(before, still);
  LostDuty cluster;
  cluster.run(before);
  cluster.ownClocks[0]->freeze();
  cluster.run(still * 100ms);
  cluster.ownClocks[0]->thaw();
  cluster.run(2s);
  CHECK(cluster.fencesNeverFall());
  cluster.platformTakesCalls();
  REQUIRE(cluster.runUntil(15s, [&] {
    return cluster.promoted("d2") || cluster.promoted("d3");
  }));
  CHECK(cluster.fencesNeverFall());
}

TEST_CASE("a holder of the duties that is cut off calls nobody once another member calls") {
  auto before = GENERATE(range(0, 12));
  CAPTURE(before);
  LostDuty cluster;
  cluster.run(before * 90ms);
  cluster.cutFirst(true);
  cluster.run(6s);
  CHECK(cluster.anotherCalled());
  CHECK(cluster.fencesNeverFall());
  cluster.cutFirst(false);
  cluster.platformTakesCalls();
  REQUIRE(cluster.runUntil(15s, [&] {
    return cluster.promoted("d2") || cluster.promoted("d3");
  }));
  CHECK(cluster.fencesNeverFall());
}

TEST_CASE("a primary that was promoted while a holder stood still is not demoted by it") {
  auto still = GENERATE(range(8, 30, 2));
  CAPTURE(still);
  LostDuty cluster;
  cluster.ownClocks[0]->freeze();
  cluster.databases.at("d2").heartbeat.leaving = true;
  cluster.databases.sendHeartbeat("d2");
  cluster.run(300ms);
  cluster.platformTakesCalls();
  cluster.run(still * 100ms);
  cluster.ownClocks[0]->thaw();
  cluster.run(4s);
  CHECK(cluster.fencesNeverFall());
  CHECK(cluster.databases.at("d3").demotedWith.empty());
}

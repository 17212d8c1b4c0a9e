// A member on duty that was frozen or cut off sends no calls once another member may hold the duties.

#include <algorithm>

#include <catch2/catch.hpp>

#include "tests/discovered_cluster.hpp"

using namespace tamarindshift;

namespace {

struct LostDuty : DiscoveredCluster {
  // the primary crashes while the platform answers no calls, so that the member on duty goes on trying
  LostDuty() {
    serviceReport().hasRecentWork = true;
    for (const char* name : {"d2", "d3"}) databases.at(name).promotion = PromotionOutcome::unanswered;
    databases.at("d1").up = false;
    databases.at("d1").heartbeatsStopped = true;
    serviceReport().suspects = {DatabaseName{"d1"}};
    REQUIRE(runUntil(5s, [&] {
      return !databases.holders().empty();
    }));
  }

  void acceptPromotions() {
    for (const char* name : {"d2", "d3"}) databases.at(name).promotion = PromotionOutcome::accepted;
  }

  void cutOffFirst(bool apart) {
    for (const char* other : {"10.0.0.2", "10.0.0.3"}) {
      apart ? network.cut("10.0.0.1", other) : network.heal("10.0.0.1", other);
      apart ? network.cut(other, "10.0.0.1") : network.heal(other, "10.0.0.1");
    }
  }

  bool fencesNeverDecrease() const {
    const auto& calls = databases.holders();
    return std::is_sorted(calls.begin(), calls.end(), [](const auto& one, const auto& next) {
      return one.fencingToken < next.fencingToken;
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

TEST_CASE("a member on duty that was frozen sends no call with a lower fence number when it continues") {
  auto before = GENERATE(0ms, 130ms, 410ms, 900ms);
  auto frozenSteps = GENERATE(range(6, 30, 2));
  CAPTURE(before, frozenSteps);
  LostDuty cluster;
  cluster.run(before);
  cluster.replicaClocks[0]->freeze();
  cluster.run(frozenSteps * 100ms);
  cluster.replicaClocks[0]->thaw();
  cluster.run(2s);
  CHECK(cluster.fencesNeverDecrease());
  cluster.acceptPromotions();
  REQUIRE(cluster.runUntil(15s, [&] {
    return cluster.promoted("d2") || cluster.promoted("d3");
  }));
  CHECK(cluster.fencesNeverDecrease());
}

TEST_CASE("a member on duty that is cut off sends no call once another member has sent one") {
  auto before = GENERATE(range(0, 12));
  CAPTURE(before);
  LostDuty cluster;
  cluster.run(before * 90ms);
  cluster.cutOffFirst(true);
  cluster.run(6s);
  CHECK(cluster.anotherCalled());
  CHECK(cluster.fencesNeverDecrease());
  cluster.cutOffFirst(false);
  cluster.acceptPromotions();
  REQUIRE(cluster.runUntil(15s, [&] {
    return cluster.promoted("d2") || cluster.promoted("d3");
  }));
  CHECK(cluster.fencesNeverDecrease());
}

TEST_CASE("a primary that was promoted while the member on duty was frozen is not demoted by it") {
  auto frozenSteps = GENERATE(range(8, 30, 2));
  CAPTURE(frozenSteps);
  LostDuty cluster;
  cluster.replicaClocks[0]->freeze();
  cluster.databases.at("d2").heartbeat.leaving = true;
  cluster.databases.sendHeartbeat("d2");
  cluster.run(300ms);
  cluster.acceptPromotions();
  cluster.run(frozenSteps * 100ms);
  cluster.replicaClocks[0]->thaw();
  cluster.run(4s);
  CHECK(cluster.fencesNeverDecrease());
  CHECK(cluster.databases.at("d3").demotedWith.empty());
}

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "tests/control_cluster.hpp"

using namespace tamarindshift;

namespace {

const Address node{"10.1.0.1:1"};

std::string branches(const std::map<std::string, int>& connections) {
  nlohmann::json quota{{"connections", 10}, {"branches", nlohmann::json::object()}};
  for (const auto& [name, amount] : connections) quota["branches"][name] = {{"connections", amount}};
  return nlohmann::json{{"discovery", "heartbeats"}, {"sync-replicas", 0}, {"quota", quota}}.dump();
}

bool granted(ControlCluster& cluster) {
  return cluster.service().grants.contains(node) && !cluster.service().grants.at(node).empty();
}

}  // namespace

TEST_CASE("shares: what a silent node holds of branches that a plan removes counts until the hold time is over", "[shares]") {
  ControlCluster cluster;
  cluster.applyPlan(1, branches({{"a", 5}, {"b", 5}}));
  REQUIRE(cluster.runUntil(10s, [&] {
    return granted(cluster);
  }));
  auto hold = Timings{}.shareHold();
  cluster.sendsReports = false;
  SECTION("removed before the node counted as silent") {
    cluster.applyPlan(2, branches({{"c", 10}}));
    CHECK_FALSE(cluster.runUntil(hold - 500ms, [&] {
      return !cluster.service().hasShares(node);
    }));
    CHECK(cluster.runUntil(8s, [&] {
      return !cluster.service().hasShares(node);
    }));
  }
  SECTION("removed while its share was reserved already") {
    REQUIRE(cluster.runUntil(6s, [&] {
      return cluster.service().reserved.contains(node);
    }));
    cluster.run(hold - 2s);
    CHECK(cluster.service().hasShares(node));
    cluster.applyPlan(2, branches({{"c", 10}}));
    CHECK_FALSE(cluster.runUntil(hold - 500ms, [&] {
      return !cluster.service().hasShares(node);
    }));
    CHECK(cluster.runUntil(3s, [&] {
      return !cluster.service().hasShares(node);
    }));
  }
  SECTION("one of two, while its share was reserved already") {
    REQUIRE(cluster.runUntil(6s, [&] {
      return cluster.service().reserved.contains(node);
    }));
    cluster.run(hold - 2s);
    cluster.applyPlan(2, branches({{"a", 5}, {"c", 5}}));
    CHECK_FALSE(cluster.runUntil(hold - 500ms, [&] {
      return !cluster.service().hasShares(node);
    }));
    CHECK(cluster.runUntil(3s, [&] {
      return !cluster.service().hasShares(node);
    }));
  }
}

TEST_CASE("shares: a plan that takes nothing from a silent node does not hold its share longer", "[shares]") {
  ControlCluster cluster;
  cluster.applyPlan(1, branches({{"a", 5}, {"b", 5}}));
  REQUIRE(cluster.runUntil(10s, [&] {
    return granted(cluster);
  }));
  cluster.sendsReports = false;
  REQUIRE(cluster.runUntil(6s, [&] {
    return cluster.service().reserved.contains(node);
  }));
  auto hold = Timings{}.shareHold();
  cluster.run(hold - 2s);
  cluster.applyPlan(2, branches({{"a", 5}, {"b", 5}}));
  CHECK(cluster.runUntil(4s, [&] {
    return !cluster.service().hasShares(node);
  }));
}

#include <catch2/catch.hpp>

#include "control/service_news.hpp"
#include "tests/control_cluster.hpp"

using namespace tamarindshift;

namespace {

const ServiceName s1{"s1"};
const DatabaseName d1{"d1"};

struct Crowded : ControlCluster {
  explicit Crowded(bool rations = true) : ControlCluster(rations) {
    for (const char* name : {"d1", "d2", "d3"}) start(name, name == std::string{"d1"} ? "primary" : "replica", Position{100});
    plan(1, discovered(0));
    REQUIRE(runUntil(5s, [&] {
      return promoted("d1");
    }));
    run(2s);
    asks(13, 3, 40);
  }
  ServiceReport& own() { return report.services[s1]; }
  std::optional<Ration> ration(std::size_t index = 0) {
    const auto& rations = replica(index).state().services().at(s1).rations;
    auto found = rations.find(d1);
    return found == rations.end() ? std::nullopt : std::optional{found->second};
  }
  void asks(std::uint32_t first, std::uint32_t second, std::uint32_t third) {
    own().demands[d1] = {{0, first * demandUnit}, {1, second * demandUnit}, {2, third * demandUnit}};
  }
  void calm() { own().demands.clear(); }
};

}  // namespace

TEST_CASE("a database that is asked more than twice its slots is rationed by order, the same at all replicas and in the news", "[ration]") {
  Crowded cluster;
  REQUIRE(cluster.runUntil(1s, [&] {
    return cluster.ration(0) && cluster.ration(1) && cluster.ration(2);
  }));
  CHECK(cluster.ration(0) == cluster.ration(1));
  CHECK(cluster.ration(1) == cluster.ration(2));
  CHECK(cluster.ration()->freeThrough == 1);
  CHECK(cluster.ration()->laterAt(cluster.report.node) == 4);
  const auto* entry = cluster.replica(1).board().find("s1");
  REQUIRE(entry);
  REQUIRE(entry->table.contains("ration/d1"));
  CHECK(unpacked<Ration>(entry->table.at("ration/d1")) == cluster.ration());
}

TEST_CASE("as earlier orders ask more, later work has less, but never nothing; no order is sent without a change", "[ration]") {
  Crowded cluster;
  REQUIRE(cluster.runUntil(1s, [&] {
    return cluster.ration().has_value();
  }));
  auto green = cluster.replica(0).engine().greenLine();
  cluster.run(5s);
  CHECK(cluster.replica(0).engine().greenLine() == green);
  cluster.asks(30, 3, 40);
  REQUIRE(cluster.runUntil(2s, [&] {
    return cluster.ration()->freeThrough == 0;
  }));
  CHECK(cluster.ration()->laterAt(cluster.report.node) == 1);
}

TEST_CASE("once all fits the ration ends", "[ration]") {
  Crowded cluster;
  REQUIRE(cluster.runUntil(1s, [&] {
    return cluster.ration().has_value();
  }));
  cluster.asks(10, 3, 6);
  REQUIRE(cluster.runUntil(2s, [&] {
    return !cluster.ration(0) && !cluster.ration(1) && !cluster.ration(2);
  }));
  CHECK_FALSE(cluster.replica(2).board().find("s1")->table.contains("ration/d1"));
}

TEST_CASE("what a node that fell silent had asked counts no more", "[ration]") {
  Crowded cluster;
  REQUIRE(cluster.runUntil(1s, [&] {
    return cluster.ration().has_value();
  }));
  cluster.reports = false;
  CHECK(cluster.runUntil(3s, [&] {
    return !cluster.ration();
  }));
}

TEST_CASE("a ration is kept through the loss of any replica, the one on duty too, and ended by the others", "[ration]") {
  auto lost = GENERATE(0u, 1u, 2u);
  Crowded cluster;
  REQUIRE(cluster.runUntil(2s, [&] {
    return cluster.ration(0) && cluster.ration(1) && cluster.ration(2);
  }));
  auto host = [](std::size_t index) {
    return "10.0.0." + std::to_string(index + 1);
  };
  for (std::size_t other = 0; other < 3; ++other) {
    if (other == lost) continue;
    cluster.network.cut(host(lost), host(other));
    cluster.network.cut(host(other), host(lost));
  }
  auto first = lost == 0 ? 1u : 0u;
  auto second = lost == 2 ? 1u : 2u;
  cluster.run(3s);
  CHECK(cluster.ration(first));
  CHECK(cluster.ration(first) == cluster.ration(second));
  cluster.calm();
  CHECK(cluster.runUntil(10s, [&] {
    return !cluster.ration(first) && !cluster.ration(second);
  }));
  CHECK(cluster.ration(lost));
  cluster.network.healAll();
  CHECK(cluster.runUntil(5s, [&] {
    return !cluster.ration(lost);
  }));
}

TEST_CASE("a replica that recovers from its disk has the ration as before", "[ration]") {
  Crowded cluster;
  REQUIRE(cluster.runUntil(2s, [&] {
    return cluster.ration(2).has_value();
  }));
  NewsBoard board;
  ControlState restored(board);
  REQUIRE(restored.restore(cluster.replica(2).state().snapshot()));
  CHECK(restored.services().at(s1).rations.at(d1) == *cluster.ration(2));
}

TEST_CASE("one order alone, nothing asked, and replicas that were not told to: none is rationed", "[ration]") {
  SECTION("one order") {
    Crowded cluster;
    cluster.own().demands[d1] = {{1, 400}};
    cluster.run(3s);
    CHECK_FALSE(cluster.ration());
  }
  SECTION("no demands") {
    Crowded cluster;
    cluster.own().demands.clear();
    cluster.run(3s);
    CHECK_FALSE(cluster.ration());
  }
  SECTION("not told to") {
    Crowded cluster(false);
    cluster.run(3s);
    CHECK_FALSE(cluster.ration());
  }
}

TEST_CASE("a database that goes takes its ration along", "[ration]") {
  Crowded cluster;
  REQUIRE(cluster.runUntil(2s, [&] {
    return cluster.ration().has_value();
  }));
  cluster.databases.at("d1").up = false;
  cluster.databases.at("d2").up = cluster.databases.at("d3").up = true;
  cluster.calm();
  REQUIRE(cluster.runUntil(20s, [&] {
    return !cluster.promoted("d1") && cluster.service().promoted;
  }));
  cluster.start("d9", "replica", Position{0});
  cluster.databases.at("d9").heartbeat.address = Address{"10.2.0.1:1"};
  cluster.databases.sendHeartbeat("d9");
  REQUIRE(cluster.runUntil(3s, [&] {
    return !cluster.replica(0).state().enrolled(s1, d1);
  }));
  CHECK_FALSE(cluster.ration());
}

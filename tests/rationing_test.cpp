#include <catch2/catch.hpp>

#include "control/published_entries.hpp"
#include "tests/control_cluster.hpp"

using namespace tamarindshift;

namespace {

const ServiceName s1{"s1"};
const DatabaseName d1{"d1"};

struct CrowdedDatabase : ControlCluster {
  explicit CrowdedDatabase(bool rations = true) : ControlCluster(rations) {
    for (const char* name : {"d1", "d2", "d3"}) startDatabase(name, name == std::string{"d1"} ? "primary" : "replica", Position{100});
    applyPlan(1, discoveredService(0));
    REQUIRE(runUntil(5s, [&] {
      return promoted("d1");
    }));
    run(2s);
    setDemands(13, 3, 40);
  }
  ServiceReport& serviceReport() { return report.services[s1]; }
  std::optional<Ration> ration(std::size_t index = 0) {
    const auto& rations = replica(index).state().services().at(s1).rations;
    auto found = rations.find(d1);
    return found == rations.end() ? std::nullopt : std::optional{found->second};
  }
  void setDemands(std::uint32_t first, std::uint32_t second, std::uint32_t third) {
    serviceReport().demands[d1] = {
        {0, first * demandUnitsPerConnection}, {1, second * demandUnitsPerConnection}, {2, third * demandUnitsPerConnection}};
  }
  void clearDemands() { serviceReport().demands.clear(); }
};

}  // namespace

TEST_CASE("demands above twice the slots of a database are rationed by order, the same at all replicas and in the updates", "[ration]") {
  CrowdedDatabase cluster;
  REQUIRE(cluster.runUntil(1s, [&] {
    return cluster.ration(0) && cluster.ration(1) && cluster.ration(2);
  }));
  CHECK(cluster.ration(0) == cluster.ration(1));
  CHECK(cluster.ration(1) == cluster.ration(2));
  CHECK(cluster.ration()->freeThrough == 1);
  CHECK(cluster.ration()->laterLimitAt(cluster.report.node) == 4);
  const auto* entry = cluster.replica(1).updateStore().find("s1");
  REQUIRE(entry);
  REQUIRE(entry->table.contains("ration/d1"));
  CHECK(unpacked<Ration>(entry->table.at("ration/d1")) == cluster.ration());
}

TEST_CASE("as earlier orders ask for more, later work gets less, but at least one connection; nothing is proposed without a change",
          "[ration]") {
  CrowdedDatabase cluster;
  REQUIRE(cluster.runUntil(1s, [&] {
    return cluster.ration().has_value();
  }));
  auto green = cluster.replica(0).engine().greenLine();
  cluster.run(5s);
  CHECK(cluster.replica(0).engine().greenLine() == green);
  cluster.setDemands(30, 3, 40);
  REQUIRE(cluster.runUntil(2s, [&] {
    return cluster.ration()->freeThrough == 0;
  }));
  CHECK(cluster.ration()->laterLimitAt(cluster.report.node) == 1);
}

TEST_CASE("the ration ends once all demands fit", "[ration]") {
  CrowdedDatabase cluster;
  REQUIRE(cluster.runUntil(1s, [&] {
    return cluster.ration().has_value();
  }));
  cluster.setDemands(10, 3, 6);
  REQUIRE(cluster.runUntil(2s, [&] {
    return !cluster.ration(0) && !cluster.ration(1) && !cluster.ration(2);
  }));
  CHECK_FALSE(cluster.replica(2).updateStore().find("s1")->table.contains("ration/d1"));
}

TEST_CASE("the demands of a node that became silent do not count any more", "[ration]") {
  CrowdedDatabase cluster;
  REQUIRE(cluster.runUntil(1s, [&] {
    return cluster.ration().has_value();
  }));
  cluster.sendsReports = false;
  CHECK(cluster.runUntil(3s, [&] {
    return !cluster.ration();
  }));
}

TEST_CASE("a ration survives the loss of any replica, including the one on duty, and is ended by the others", "[ration]") {
  auto lost = GENERATE(0u, 1u, 2u);
  CrowdedDatabase cluster;
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
  cluster.clearDemands();
  CHECK(cluster.runUntil(10s, [&] {
    return !cluster.ration(first) && !cluster.ration(second);
  }));
  CHECK(cluster.ration(lost));
  cluster.network.healAll();
  CHECK(cluster.runUntil(5s, [&] {
    return !cluster.ration(lost);
  }));
}

TEST_CASE("a replica that is restored from a snapshot has the same ration", "[ration]") {
  CrowdedDatabase cluster;
  REQUIRE(cluster.runUntil(2s, [&] {
    return cluster.ration(2).has_value();
  }));
  UpdateStore board;
  ControlState restored(board);
  REQUIRE(restored.restore(cluster.replica(2).state().snapshot()));
  CHECK(restored.services().at(s1).rations.at(d1) == *cluster.ration(2));
}

TEST_CASE("no ration for a single order, without demands, or where rations are switched off", "[ration]") {
  SECTION("one order") {
    CrowdedDatabase cluster;
    cluster.serviceReport().demands[d1] = {{1, 400}};
    cluster.run(3s);
    CHECK_FALSE(cluster.ration());
  }
  SECTION("no demands") {
    CrowdedDatabase cluster;
    cluster.serviceReport().demands.clear();
    cluster.run(3s);
    CHECK_FALSE(cluster.ration());
  }
  SECTION("rations switched off") {
    CrowdedDatabase cluster(false);
    cluster.run(3s);
    CHECK_FALSE(cluster.ration());
  }
}

TEST_CASE("the ration of a database is removed with the database", "[ration]") {
  CrowdedDatabase cluster;
  REQUIRE(cluster.runUntil(2s, [&] {
    return cluster.ration().has_value();
  }));
  cluster.databases.at("d1").up = false;
  cluster.databases.at("d2").up = cluster.databases.at("d3").up = true;
  cluster.clearDemands();
  REQUIRE(cluster.runUntil(20s, [&] {
    return !cluster.promoted("d1") && cluster.service().promoted;
  }));
  cluster.startDatabase("d9", "replica", Position{0});
  cluster.databases.at("d9").heartbeat.address = Address{"10.2.0.1:1"};
  cluster.databases.sendHeartbeat("d9");
  REQUIRE(cluster.runUntil(3s, [&] {
    return !cluster.replica(0).state().enrolled(s1, d1);
  }));
  CHECK_FALSE(cluster.ration());
}

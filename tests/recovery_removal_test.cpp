#include <catch2/catch.hpp>

#include "tests/control_cluster.hpp"

using namespace tamarindshift;

namespace {

struct RemovedService : ControlCluster {
  explicit RemovedService(std::uint32_t syncReplicas) {
    startDatabase("d1", "primary", Position{100});
    startDatabase("d2", "replica", Position{98});
    startDatabase("d3", "replica", Position{95});
    applyPlan(1, discoveredService(syncReplicas));
    REQUIRE(runUntil(5s, [&] {
      return promoted("d1");
    }));
    run(2s);
    report.services[ServiceName{"s1"}].hasRecentWork = true;
  }
  void removeService() {
    auto reply = awaitReply(replica(0).replacePlan(R"({"mark":2,"services":{},"kinds":{}})"));
    INFO(reply.body);
    REQUIRE(reply.status == 200);
  }
};

}  // namespace

TEST_CASE("removing a service while its databases are asked for STATUS makes no duty fail") {
  auto syncReplicas = GENERATE(0u, 1u);
  auto planned = GENERATE(false, true);
  auto after = GENERATE(range(0, 18));
  CAPTURE(syncReplicas, planned, after);
  RemovedService cluster(syncReplicas);
  cluster.databases.at("d3").unreachable = true;
  if (planned) {
    cluster.databases.at("d1").heartbeat.leaving = true;
    cluster.databases.sendHeartbeat("d1");
  } else {
    cluster.databases.at("d1").unreachable = true;
    cluster.report.services[ServiceName{"s1"}].suspects = {DatabaseName{"d1"}};
  }
  cluster.run(after * 100ms);
  cluster.removeService();
  cluster.report.services.clear();
  cluster.run(4s);
  CHECK_FALSE(cluster.replica(0).state().services().contains(ServiceName{"s1"}));
  cluster.databases.at("d1").up = false;
  cluster.databases.at("d1").heartbeatsStopped = true;
  cluster.databases.at("d3").unreachable = false;
  cluster.databases.at("d2").heartbeat.role = "primary";
  cluster.databases.sendHeartbeat("d2");
  cluster.applyPlan(3, cluster.discoveredService(syncReplicas));
  CHECK(cluster.runUntil(20s, [&] {
    return cluster.promoted("d2") || cluster.promoted("d3");
  }));
  CHECK(cluster.counterSum("duties.failed") == 0);
}

TEST_CASE("duties that are lost while databases without any heartbeat are asked for STATUS continue when they are taken again") {
  ControlCluster cluster;
  cluster.startDatabase("d1", "primary", Position{100});
  cluster.startDatabase("d3", "replica", Position{95});
  cluster.databases.addUnreachable("d2");
  cluster.applyPlan(
      1,
      R"({"databases":{"d1":{"address":"10.2.0.1:1","cap":10},"d2":{"address":"10.2.0.2:1","cap":10},"d3":{"address":"10.2.0.3:1","cap":10}},
                      "quota":{"connections":10,"branches":{"b":{"connections":10}}}})");
  REQUIRE(cluster.runUntil(5s, [&] {
    return cluster.promoted("d1");
  }));
  cluster.run(2s);
  cluster.databases.at("d1").up = false;
  cluster.databases.at("d1").heartbeatsStopped = true;
  auto after = GENERATE(range(0, 24));
  CAPTURE(after);
  cluster.run(1200ms + after * 50ms);
  auto cut = [&](bool cutOff) {
    for (const char* other : {"10.0.0.2", "10.0.0.3"}) {
      cutOff ? cluster.network.cut("10.0.0.1", other) : cluster.network.heal("10.0.0.1", other);
      cutOff ? cluster.network.cut(other, "10.0.0.1") : cluster.network.heal(other, "10.0.0.1");
    }
  };
  cut(true);
  cluster.run(2s);
  cut(false);
  CHECK(cluster.runUntil(20s, [&] {
    return cluster.promoted("d3");
  }));
  cluster.run(3s);
  CHECK(cluster.counterSum("duties.failed") == 0);
}

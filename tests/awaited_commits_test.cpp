// Acknowledged commits are abandoned only when every database that may hold them was asked and none of them is awaited.

#include <catch2/catch.hpp>

#include "tests/discovered_cluster.hpp"

using namespace tamarindshift;

namespace {

// d1 is primary; d2 has received everything that was acknowledged, d3 has not. A test then loses d1, and a database of another
// service takes its address.
struct LostPrimary : DiscoveredCluster {
  explicit LostPrimary(Position acknowledged = Position{100}) : DiscoveredCluster(1) {
    serviceReport().hasRecentWork = true;
    databases.at("d2").logPosition.position = Position{100};
    serviceReport().acknowledged = LogPosition{Epoch{3}, acknowledged};
    run(200ms);
  }

  void reportLeaving(const std::string& name) {
    databases.at(name).heartbeat.leaving = true;
    databases.sendHeartbeat(name);
    run(500ms);
    REQUIRE(replica(0).state().drainMark(ServiceName{"s1"}, DatabaseName{name}));
  }

  void stopDatabase(const std::string& name) {
    databases.at(name).up = false;
    databases.at(name).heartbeatsStopped = true;
  }

  void losePrimary() {
    stopDatabase("d1");
    serviceReport().suspects = {DatabaseName{"d1"}};
    run(2500ms);
    startAtAddress("d8", "10.2.0.1:1", "s2");
    REQUIRE(runUntil(2s, [&] {
      return !enrolled("d1");
    }));
  }

  // starts a database at the address of one that has stopped; its log ends at `position`
  void startAtAddress(const std::string& name, const std::string& address, const std::string& service, Position position = Position{0}) {
    DatabaseHeartbeat heartbeat;
    heartbeat.service = ServiceName{service};
    heartbeat.database = DatabaseName{name};
    heartbeat.role = "replica";
    heartbeat.address = Address{address};
    heartbeat.zone = Zone{"z1"};
    heartbeat.capacity = 10;
    databases.add(heartbeat, LogPosition{Epoch{3}, position});
  }

  void detachDatabase(const std::string& name) {
    auto& own = databases.at(name);
    stopDatabase(name);
    ++own.heartbeat.number;
    CHECK(awaitReply(replica(1).detach(own.heartbeat)).status == 200);
    REQUIRE(runUntil(2s, [&] {
      return !enrolled(name);
    }));
  }
};

}  // namespace

TEST_CASE("commits that a leaving replica holds are waited for, beyond its end, until its successor enrols with them") {
  auto leavesBeforeLoss = GENERATE(true, false);
  auto leavingFor = GENERATE(1s, 9s, 20s);
  auto successorAfter = GENERATE(100ms, 4s, 30s);
  CAPTURE(leavesBeforeLoss, leavingFor.count(), successorAfter.count());
  LostPrimary cluster;
  if (leavesBeforeLoss) cluster.reportLeaving("d2");
  if (!leavesBeforeLoss) {
    cluster.databases.at("d2").unreachable = true;
    cluster.losePrimary();
    cluster.databases.at("d2").unreachable = false;
    cluster.reportLeaving("d2");
  } else {
    cluster.losePrimary();
  }
  cluster.run(leavingFor);
  CHECK_FALSE(cluster.promoted("d3"));
  if (cluster.promoted("d2")) return;
  cluster.detachDatabase("d2");
  cluster.run(successorAfter);
  CHECK(cluster.databases.at("d3").promoteCalls == 0);
  cluster.startAtAddress("d9", "10.2.0.2:1", "s1", Position{100});
  REQUIRE(cluster.runUntil(15s, [&] {
    return cluster.promoted("d9");
  }));
  CHECK(cluster.databases.at("d3").promoteCalls == 0);
}

TEST_CASE("commits that a silent replica may hold are not abandoned while it may come back") {
  auto silentFor = GENERATE(3s, 12s, 40s);
  CAPTURE(silentFor.count());
  LostPrimary cluster;
  cluster.databases.at("d2").unreachable = true;
  cluster.serviceReport().suspects = {DatabaseName{"d2"}};
  cluster.run(6s);
  cluster.losePrimary();
  cluster.run(silentFor);
  CHECK(cluster.databases.at("d3").promoteCalls == 0);
  cluster.databases.at("d2").unreachable = false;
  REQUIRE(cluster.runUntil(10s, [&] {
    return cluster.promoted("d2");
  }));
  CHECK(cluster.databases.at("d3").promoteCalls == 0);
}

TEST_CASE("commits that no database can bring back any more are abandoned") {
  auto ending = GENERATE(0, 1, 2);
  CAPTURE(ending);
  LostPrimary cluster;
  cluster.reportLeaving("d2");
  cluster.losePrimary();
  cluster.detachDatabase("d2");
  // the successor lacks them too; or another service uses the address; or no successor comes
  if (ending == 0) cluster.startAtAddress("d9", "10.2.0.2:1", "s1", Position{90});
  if (ending == 1) cluster.startAtAddress("d9", "10.2.0.2:1", "s2");
  REQUIRE(cluster.runUntil(ending == 2 ? 80s : 25s, [&] {
    return cluster.promoted("d3");
  }));
}

TEST_CASE("a replica that is no candidate is asked if a node may not have reported what it acknowledged") {
  auto silentFor = GENERATE(5s, 20s, 40s);
  CAPTURE(silentFor.count());
  LostPrimary cluster(Position{95});
  // its heartbeats are lost, but it goes on receiving what the primary commits
  cluster.databases.at("d2").heartbeatsStopped = true;
  cluster.run(12s);
  cluster.sendsReports = false;
  cluster.stopDatabase("d1");
  cluster.run(silentFor);
  CHECK(cluster.databases.at("d3").promoteCalls == 0);
  cluster.databases.at("d2").heartbeatsStopped = false;
  REQUIRE(cluster.runUntil(15s, [&] {
    return cluster.databases.at("d2").promoteCalls > 0;
  }));
  CHECK(cluster.databases.at("d3").promoteCalls == 0);
}

TEST_CASE("commits that are reported late and that a suspected replica holds are not abandoned") {
  auto darkFor = GENERATE(2s, 5s);
  CAPTURE(darkFor.count());
  LostPrimary cluster(Position{95});
  cluster.databases.at("d2").unreachable = true;
  cluster.databases.at("d3").promotion = PromotionOutcome::unanswered;
  cluster.stopDatabase("d1");
  cluster.serviceReport().suspects = {DatabaseName{"d1"}, DatabaseName{"d2"}};
  REQUIRE(cluster.runUntil(8s, [&] {
    return cluster.service().primary == DatabaseName{"d3"};
  }));
  cluster.serviceReport().acknowledged = LogPosition{Epoch{3}, Position{100}};
  cluster.run(darkFor);
  auto callsBefore = cluster.databases.at("d3").promoteCalls;
  cluster.databases.at("d2").unreachable = false;
  cluster.startAtAddress("d8", "10.2.0.1:1", "s2");
  REQUIRE(cluster.runUntil(20s, [&] {
    return cluster.promoted("d2");
  }));
  CHECK(cluster.databases.at("d3").promoteCalls <= callsBefore + 1);
}

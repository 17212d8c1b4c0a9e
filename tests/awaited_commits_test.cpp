// Acknowledged commits are given up only when every database that may hold them was asked and none is awaited.

#include <catch2/catch.hpp>

#include "tests/discovered_cluster.hpp"

using namespace tamarindshift;

namespace {

// d1 leads; d2 has received what was acknowledged, d3 lacks some of it; then d1 is lost and its address used elsewhere
struct LostPrimary : DiscoveredCluster {
  explicit LostPrimary(Position acknowledged = Position{100}) : DiscoveredCluster(1) {
    own().working = true;
    databases.at("d2").logPosition.position = Position{100};
    own().acknowledged = Place{Epoch{3}, acknowledged};
    run(200ms);
  }

  void saysLeaving(const std::string& name) {
    databases.at(name).heartbeat.leaving = true;
    databases.sendHeartbeat(name);
    run(500ms);
    REQUIRE(replica(0).state().drained(ServiceName{"s1"}, DatabaseName{name}));
  }

  void ends(const std::string& name) {
    databases.at(name).up = false;
    databases.at(name).heartbeatsStopped = true;
  }

  void losesPrimary() {
    ends("d1");
    own().suspects = {DatabaseName{"d1"}};
    run(2500ms);
    startElsewhere("d8", "10.2.0.1:1", "s2");
    REQUIRE(runUntil(2s, [&] {
      return !enrolled("d1");
    }));
  }

  // a database starts at the address of one that is gone, with this much of the log
  void startElsewhere(const std::string& name, const std::string& address, const std::string& service, Position position = Position{0}) {
    DatabaseHeartbeat heartbeat;
    heartbeat.service = ServiceName{service};
    heartbeat.database = DatabaseName{name};
    heartbeat.role = "replica";
    heartbeat.address = Address{address};
    heartbeat.zone = Zone{"z1"};
    heartbeat.capacity = 10;
    databases.add(heartbeat, Place{Epoch{3}, position});
  }

  void detaches(const std::string& name) {
    auto& own = databases.at(name);
    ends(name);
    ++own.heartbeat.number;
    CHECK(ask(replica(1).detach(own.heartbeat)).status == 200);
    REQUIRE(runUntil(2s, [&] {
      return !enrolled(name);
    }));
  }
};

}  // namespace

TEST_CASE("commits that a leaving replica holds are waited for, through its end, until its successor brings them") {
  auto leavesFirst = GENERATE(true, false);
  auto serves = GENERATE(1s, 9s, 20s);
  auto successorAfter = GENERATE(100ms, 4s, 30s);
  CAPTURE(leavesFirst, serves.count(), successorAfter.count());
  LostPrimary cluster;
  if (leavesFirst) cluster.saysLeaving("d2");
  if (!leavesFirst) {
    cluster.databases.at("d2").unresponsive = true;
    cluster.losesPrimary();
    cluster.databases.at("d2").unresponsive = false;
    cluster.saysLeaving("d2");
  } else {
    cluster.losesPrimary();
  }
  cluster.run(serves);
  CHECK_FALSE(cluster.promoted("d3"));
  if (cluster.promoted("d2")) return;
  cluster.detaches("d2");
  cluster.run(successorAfter);
  CHECK(cluster.databases.at("d3").promoteCalls == 0);
  cluster.startElsewhere("d9", "10.2.0.2:1", "s1", Position{100});
  REQUIRE(cluster.runUntil(15s, [&] {
    return cluster.promoted("d9");
  }));
  CHECK(cluster.databases.at("d3").promoteCalls == 0);
}

TEST_CASE("commits that a silent replica may hold are not given up while it may come back") {
  auto silentFor = GENERATE(3s, 12s, 40s);
  CAPTURE(silentFor.count());
  LostPrimary cluster;
  cluster.databases.at("d2").unresponsive = true;
  cluster.own().suspects = {DatabaseName{"d2"}};
  cluster.run(6s);
  cluster.losesPrimary();
  cluster.run(silentFor);
  CHECK(cluster.databases.at("d3").promoteCalls == 0);
  cluster.databases.at("d2").unresponsive = false;
  REQUIRE(cluster.runUntil(10s, [&] {
    return cluster.promoted("d2");
  }));
  CHECK(cluster.databases.at("d3").promoteCalls == 0);
}

TEST_CASE("commits that nobody can bring back any more are given up") {
  auto how = GENERATE(0, 1, 2);
  CAPTURE(how);
  LostPrimary cluster;
  cluster.saysLeaving("d2");
  cluster.losesPrimary();
  cluster.detaches("d2");
  // the successor lacks them too; or another service uses the address; or no successor comes
  if (how == 0) cluster.startElsewhere("d9", "10.2.0.2:1", "s1", Position{90});
  if (how == 1) cluster.startElsewhere("d9", "10.2.0.2:1", "s2");
  REQUIRE(cluster.runUntil(how == 2 ? 80s : 25s, [&] {
    return cluster.promoted("d3");
  }));
}

TEST_CASE("a replica that is no candidate is asked where a node may not have told what it acknowledged") {
  auto silentFor = GENERATE(5s, 20s, 40s);
  CAPTURE(silentFor.count());
  LostPrimary cluster(Position{95});
  // its heartbeats are lost, but it goes on receiving what the primary commits
  cluster.databases.at("d2").heartbeatsStopped = true;
  cluster.run(12s);
  cluster.reports = false;
  cluster.ends("d1");
  cluster.run(silentFor);
  CHECK(cluster.databases.at("d3").promoteCalls == 0);
  cluster.databases.at("d2").heartbeatsStopped = false;
  REQUIRE(cluster.runUntil(15s, [&] {
    return cluster.databases.at("d2").promoteCalls > 0;
  }));
  CHECK(cluster.databases.at("d3").promoteCalls == 0);
}

TEST_CASE("commits told of late that a suspected replica holds are not given up") {
  auto darkFor = GENERATE(2s, 5s);
  CAPTURE(darkFor.count());
  LostPrimary cluster(Position{95});
  cluster.databases.at("d2").unresponsive = true;
  cluster.databases.at("d3").promotion = PromotionOutcome::unanswered;
  cluster.ends("d1");
  cluster.own().suspects = {DatabaseName{"d1"}, DatabaseName{"d2"}};
  REQUIRE(cluster.runUntil(8s, [&] {
    return cluster.service().primary == DatabaseName{"d3"};
  }));
  cluster.own().acknowledged = Place{Epoch{3}, Position{100}};
  cluster.run(darkFor);
  auto callsBefore = cluster.databases.at("d3").promoteCalls;
  cluster.databases.at("d2").unresponsive = false;
  cluster.startElsewhere("d8", "10.2.0.1:1", "s2");
  REQUIRE(cluster.runUntil(20s, [&] {
    return cluster.promoted("d2");
  }));
  CHECK(cluster.databases.at("d3").promoteCalls <= callsBefore + 1);
}

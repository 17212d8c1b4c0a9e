#include <catch2/catch.hpp>

#include "control/published_entries.hpp"
#include "tests/discovered_cluster.hpp"

using namespace tamarindshift;

namespace {

using Discovered = DiscoveredCluster;

}  // namespace

TEST_CASE("databases are discovered by their heartbeats before any plan, and the one that reports primary is the first primary") {
  ControlCluster cluster;
  cluster.startDatabase("d1", "replica", Position{90});
  cluster.startDatabase("d2", "primary", Position{100});
  cluster.run(2s);
  const auto& state = cluster.replica(0).state();
  CHECK(state.databases(ServiceName{"s1"}).size() == 2);
  cluster.applyPlan(1, cluster.discoveredService(0));
  REQUIRE(cluster.runUntil(3s, [&] {
    return cluster.promoted("d2");
  }));
  CHECK(cluster.databases.statusCalls() == 0);
  CHECK(cluster.databases.holders().empty());
  auto green = cluster.replica(0).engine().greenLine();
  auto rejected = cluster.counterSum("duties.orders_not_held");
  cluster.run(10s);
  CHECK(cluster.replica(0).engine().greenLine() <= green + 4);
  CHECK(cluster.counterSum("duties.orders_not_held") == rejected);
  CHECK(cluster.databases.statusCalls() == 0);
}

TEST_CASE("without a heartbeat that reports primary, the database with the highest position by STATUS is promoted") {
  ControlCluster cluster;
  cluster.startDatabase("d1", "replica", Position{90});
  cluster.startDatabase("d2", "replica", Position{100});
  cluster.applyPlan(1, cluster.discoveredService(0));
  REQUIRE(cluster.runUntil(6s, [&] {
    return cluster.promoted("d2");
  }));
  CHECK(cluster.databases.at("d2").promoteCalls == 1);
}

TEST_CASE("a database that sends heartbeats from the address of another replaces it in the list") {
  Discovered cluster;
  auto address = cluster.enrolled("d3")->address;
  cluster.databases.at("d3").up = false;
  cluster.startDatabase("d9", "replica", Position{0});
  cluster.databases.at("d9").heartbeat.address = address;
  cluster.databases.sendHeartbeat("d9");
  REQUIRE(cluster.runUntil(2s, [&] {
    return cluster.enrolled("d9") && cluster.enrolled("d9")->address == address;
  }));
  CHECK_FALSE(cluster.enrolled("d3"));
  CHECK(cluster.enrolled("d1"));
}

TEST_CASE("a late heartbeat is ignored, one with a lower number after three silent seconds is not") {
  Discovered cluster;
  auto& own = cluster.databases.at("d2");
  own.heartbeatsStopped = true;
  auto late = own.heartbeat;
  late.number -= 1;
  late.role = "primary";
  late.leaving = true;
  CHECK(cluster.awaitReply(cluster.replica(1).heartbeat(late)).status == 200);
  CHECK(cluster.replica(1).reports().database(ServiceName{"s1"}, DatabaseName{"d2"})->heartbeat.role == "replica");
  cluster.run(4s);
  CHECK_FALSE(cluster.replica(1).state().drainMark(ServiceName{"s1"}, DatabaseName{"d2"}));
  auto again = own.heartbeat;
  again.number = 1;
  again.position = Position{77};
  CHECK(cluster.awaitReply(cluster.replica(1).heartbeat(again)).status == 200);
  CHECK(cluster.replica(1).reports().database(ServiceName{"s1"}, DatabaseName{"d2"})->heartbeat.position == Position{77});
}

TEST_CASE("a heartbeat with leaving set is answered once the drain is ordered, a Detach removes the database") {
  Discovered cluster;
  auto& own = cluster.databases.at("d3");
  own.heartbeat.leaving = true;
  ++own.heartbeat.number;
  CHECK(cluster.awaitReply(cluster.replica(2).heartbeat(own.heartbeat)).status == 200);
  CHECK(cluster.replica(2).state().drainMark(ServiceName{"s1"}, DatabaseName{"d3"}));
  own.heartbeatsStopped = true;
  ++own.heartbeat.number;
  CHECK(cluster.awaitReply(cluster.replica(1).detach(own.heartbeat)).status == 200);
  REQUIRE(cluster.runUntil(2s, [&] {
    return !cluster.enrolled("d3");
  }));
  ++own.heartbeat.number;
  CHECK(cluster.awaitReply(cluster.replica(1).detach(own.heartbeat)).status == 200);
  CHECK_FALSE(cluster.enrolled("d3"));
}

TEST_CASE("without a primary component a new database is told to come back") {
  Discovered cluster;
  for (std::size_t other : {1, 2}) {
    cluster.network.cut("10.0.0.1", "10.0.0." + std::to_string(other + 1));
    cluster.network.cut("10.0.0." + std::to_string(other + 1), "10.0.0.1");
  }
  cluster.run(4s);
  auto heartbeat = cluster.databases.at("d3").heartbeat;
  heartbeat.database = DatabaseName{"d7"};
  heartbeat.address = Address{"10.2.0.7:1"};
  auto reply = cluster.awaitReply(cluster.replica(0).heartbeat(heartbeat));
  CHECK(reply.status == 503);
  CHECK(reply.comeBack);
}

TEST_CASE("a database silent for a minute is removed, the primary is not") {
  Discovered cluster;
  cluster.databases.at("d3").heartbeatsStopped = true;
  cluster.run(50s);
  CHECK(cluster.enrolled("d3"));
  cluster.run(15s);
  CHECK_FALSE(cluster.enrolled("d3"));
  cluster.databases.at("d1").heartbeatsStopped = true;
  cluster.run(70s);
  CHECK(cluster.enrolled("d1"));
  CHECK(cluster.promoted("d1"));
}

TEST_CASE("a crashed primary that nodes do not reach is replaced at once, without waiting for a lease") {
  Discovered cluster;
  cluster.databases.at("d1").up = false;
  cluster.serviceReport().hasRecentWork = true;
  cluster.serviceReport().suspects = {DatabaseName{"d1"}};
  auto since = cluster.world.now();
  REQUIRE(cluster.runUntil(3s, [&] {
    return cluster.promoted("d2");
  }));
  CHECK(cluster.world.now() - since < 1200ms);
  CHECK(cluster.databases.at("d1").statusCalls == 1);
  CHECK(cluster.databases.at("d2").promoteCalls == 1);
  CHECK(cluster.databases.holders().back().fencingToken > 0);
  CHECK(cluster.service().epoch == Epoch{2});
}

TEST_CASE("a primary that nodes do not reach is kept while its STATUS is good") {
  Discovered cluster;
  cluster.serviceReport().hasRecentWork = true;
  cluster.serviceReport().suspects = {DatabaseName{"d1"}};
  cluster.run(20s);
  CHECK(cluster.promoted("d1"));
  CHECK(cluster.service().epoch == Epoch{1});
  CHECK(cluster.databases.statusCalls() <= 22);
}

TEST_CASE("a crashed primary without any work is replaced once its heartbeats have been missing for the silence timeout") {
  Discovered cluster;
  cluster.databases.at("d1").unreachable = true;
  CHECK_FALSE(cluster.runUntil(700ms, [&] {
    return !cluster.promoted("d1");
  }));
  REQUIRE(cluster.runUntil(6s, [&] {
    return cluster.promoted("d2");
  }));
}

TEST_CASE("while a node has not reported the new epoch, the promotion waits for its lease to expire") {
  Discovered cluster;
  cluster.followsUpdates = false;
  cluster.databases.at("d1").up = false;
  cluster.serviceReport().hasRecentWork = true;
  cluster.serviceReport().suspects = {DatabaseName{"d1"}};
  REQUIRE(cluster.runUntil(2s, [&] {
    return cluster.service().epoch == Epoch{2};
  }));
  auto since = cluster.world.now();
  REQUIRE(cluster.runUntil(5s, [&] {
    return cluster.databases.at("d2").promoteCalls > 0;
  }));
  CHECK(cluster.world.now() - since > Timings{}.lease + Timings{}.leaseMargin);
}

TEST_CASE("a report with another boot number than the enrolled one does not count") {
  Discovered cluster;
  cluster.databases.at("d1").up = false;
  cluster.serviceReport().hasRecentWork = true;
  cluster.serviceReport().suspects = {DatabaseName{"d1"}};
  REQUIRE(cluster.runUntil(2s, [&] {
    return cluster.service().epoch == Epoch{2};
  }));
  CHECK(cluster.databases.at("d2").promoteCalls == 0);
  cluster.followsUpdates = false;
  cluster.report.boot = 6;
  cluster.serviceReport().epoch = Epoch{1};
  CHECK_FALSE(cluster.runUntil(1500ms, [&] {
    return cluster.databases.at("d2").promoteCalls > 0;
  }));
}

TEST_CASE("a planned change lets nodes finish, demotes, and promotes a database that has reached the final position") {
  Discovered cluster;
  cluster.followsUpdates = false;
  auto& former = cluster.databases.at("d1");
  former.heartbeat.leaving = true;
  cluster.databases.sendHeartbeat("d1");
  REQUIRE(cluster.runUntil(2s, [&] {
    return cluster.service().epoch == Epoch{2};
  }));
  CHECK(cluster.service().plannedSwitchover);
  cluster.run(600ms);
  CHECK(former.demotedWith.empty());
  former.logPosition.position = Position{120};
  cluster.followsUpdates = true;
  REQUIRE(cluster.runUntil(1s, [&] {
    return !former.demotedWith.empty();
  }));
  CHECK(former.demotedWith.front() == Epoch{4});
  cluster.run(400ms);
  CHECK(cluster.databases.at("d2").promoteCalls == 0);
  cluster.databases.at("d2").logPosition.position = Position{120};
  auto since = cluster.world.now();
  REQUIRE(cluster.runUntil(2s, [&] {
    return cluster.promoted("d2");
  }));
  CHECK(cluster.world.now() - since < 900ms);
}

TEST_CASE("if the promotion is refused another database is chosen, an unanswered call is repeated") {
  Discovered cluster;
  cluster.databases.at("d2").promotion = PromotionOutcome::refused;
  cluster.databases.at("d3").promotion = PromotionOutcome::unanswered;
  cluster.databases.at("d1").up = false;
  cluster.serviceReport().hasRecentWork = true;
  cluster.serviceReport().suspects = {DatabaseName{"d1"}};
  REQUIRE(cluster.runUntil(8s, [&] {
    return cluster.databases.at("d3").promoteCalls >= 2;
  }));
  CHECK(cluster.databases.at("d2").promoteCalls == 1);
  cluster.databases.at("d3").promotion = PromotionOutcome::promoted;
  REQUIRE(cluster.runUntil(8s, [&] {
    return cluster.promoted("d3");
  }));
  CHECK(cluster.service().epoch == Epoch{3});
}

TEST_CASE("an accepted promotion counts once the heartbeat or the STATUS of the database confirms it") {
  Discovered cluster;
  cluster.databases.at("d2").promotesWhenAccepted = false;
  cluster.databases.at("d1").up = false;
  cluster.serviceReport().hasRecentWork = true;
  cluster.serviceReport().suspects = {DatabaseName{"d1"}};
  REQUIRE(cluster.runUntil(3s, [&] {
    return cluster.databases.at("d2").promoteCalls > 0;
  }));
  cluster.run(2s);
  CHECK_FALSE(cluster.service().promoted);
  cluster.databases.at("d2").heartbeatsStopped = true;
  cluster.databases.at("d2").heartbeat.role = "primary";
  REQUIRE(cluster.runUntil(3s, [&] {
    return cluster.promoted("d2");
  }));
}

TEST_CASE("where commits are replicated, the chosen database must hold what was acknowledged") {
  Discovered cluster(1);
  cluster.serviceReport().acknowledged = LogPosition{Epoch{3}, Position{99}};
  cluster.serviceReport().hasRecentWork = true;
  cluster.serviceReport().suspects = {DatabaseName{"d1"}};
  cluster.run(200ms);
  cluster.databases.at("d1").up = false;
  CHECK_FALSE(cluster.runUntil(5s, [&] {
    return cluster.databases.at("d2").promoteCalls + cluster.databases.at("d3").promoteCalls > 0;
  }));
  cluster.databases.at("d3").logPosition.position = Position{99};
  REQUIRE(cluster.runUntil(8s, [&] {
    return cluster.promoted("d3");
  }));
  CHECK(cluster.databases.at("d2").promoteCalls == 0);
}

TEST_CASE("STATUS is asked of all to choose a database, of all to check its position, and of it alone to confirm that it is primary") {
  Discovered cluster(1);
  cluster.serviceReport().acknowledged = LogPosition{Epoch{3}, Position{97}};
  cluster.serviceReport().hasRecentWork = true;
  cluster.serviceReport().suspects = {DatabaseName{"d1"}};
  cluster.databases.at("d1").up = false;
  REQUIRE(cluster.runUntil(5s, [&] {
    return cluster.promoted("d2");
  }));
  CHECK(cluster.databases.at("d2").statusCalls == 3);
  CHECK(cluster.databases.at("d3").statusCalls == 2);
}

TEST_CASE("enrolments are in the updates and in the snapshot, also for services that no plan names") {
  UpdateStore board;
  ControlState state(board);
  std::uint64_t position = 0;
  auto apply = [&]<class Body>(ControlCommandType matter, const Body& body) {
    Action action;
    action.update = packed(ControlCommand{matter, 0, packed(body)});
    return state.applyGreen(action, ++position);
  };
  auto enrol = [&](const char* service, const char* database, const char* address) {
    return apply(ControlCommandType::enrolDatabase,
                 EnrolmentCommand{ServiceName{service}, DatabaseName{database}, Address{address}, Zone{"z1"}, 10, 0, 1, "replica"});
  };
  CHECK(enrol("s1", "d1", "10.2.0.1:1") == "held");
  CHECK(enrol("s2", "d2", "10.2.0.2:1") == "held");
  PlanCommand plan{R"({"mark":1,"services":{"s1":{"discovery":"heartbeats","quota":{"connections":10,"branches":{"b":{"connections":10}}}},
    "s3":{"databases":{"x":{"address":"10.2.0.9:1","cap":10}},"quota":{"connections":10,"branches":{"b":{"connections":10}}}}},"kinds":{}})"};
  CHECK(apply(ControlCommandType::plan, plan) == "held");
  CHECK(enrol("s3", "d5", "10.2.0.5:1") != "held");
  const auto& table = board.find("s1")->table;
  REQUIRE(table.contains("database/d1"));
  CHECK(unpacked<PublishedDatabase>(table.at("database/d1"))->address == Address{"10.2.0.1:1"});
  CHECK(apply(ControlCommandType::drainDatabase, DatabaseCommand{ServiceName{"s2"}, DatabaseName{"d2"}, 0, 2, false}) == "held");
  UpdateStore otherBoard;
  ControlState other(otherBoard);
  REQUIRE(other.restore(state.snapshot()));
  CHECK(other.enrolled(ServiceName{"s2"}, DatabaseName{"d2"})->address == Address{"10.2.0.2:1"});
  CHECK(other.drainMark(ServiceName{"s2"}, DatabaseName{"d2"}));
  CHECK(otherBoard.find("s1")->table.contains("database/d1"));
  CHECK(enrol("s1", "d4", "10.2.0.2:1") == "held");
  CHECK_FALSE(state.enrolled(ServiceName{"s2"}, DatabaseName{"d2"}));
  CHECK_FALSE(state.drainMark(ServiceName{"s2"}, DatabaseName{"d2"}));
  CHECK(apply(ControlCommandType::recovery, RecoveryCommand{ServiceName{"s1"}, Epoch{}, DatabaseName{"d4"}, "", false}) == "held");
  CHECK(apply(ControlCommandType::removeDatabase, DatabaseCommand{ServiceName{"s1"}, DatabaseName{"d4"}, 0, 0, true}) != "held");
  CHECK(apply(ControlCommandType::removeDatabase, DatabaseCommand{ServiceName{"s1"}, DatabaseName{"d1"}, 0, 0, true}) == "held");
  CHECK_FALSE(board.find("s1")->table.contains("database/d1"));
}

#include <catch2/catch.hpp>

#include "tests/pooler_trial.hpp"

using namespace tamarindshift;

namespace {

struct RoutesTrial : PoolerTrial {
  RoutesTrial() {
    backEnds.add("d4", true, LogPosition{Epoch{7}, Position{10}});
    kinds[KindName{"other"}] = kinds.at(KindName{"strict"});
    kinds[KindName{"other"}].service = ServiceName{"s2"};
    kinds[KindName{"other"}].host = "other";
    publishPrimary(1, "d4", true, false, "s2");
    publishShare(2, "s2");
    publishDatabase("d4", "z1", "s2");
    publish();
  }
  void publish() {
    publishFleet();
    publishService("s1");
    publishService("s2");
    run(20ms);
  }
  void moveRoute(const char* name, const char* service) {
    kinds[KindName{name}].service = ServiceName{service};
    publish();
  }
  void removeRoute(const char* name) {
    kinds.erase(KindName{name});
    publish();
  }
};

}  // namespace

TEST_CASE("pooler routes: each host leads to its service", "[pooler][routes]") {
  RoutesTrial trial;
  auto alice = trial.client("alice");
  auto bob = trial.client("bob", "other");
  CHECK(alice->ask("WRITE a 1") == "OK");
  CHECK(bob->ask("WRITE b 1") == "OK");
  CHECK(trial.runsOf("WRITE a 1").front().database == "d1");
  CHECK(trial.runsOf("WRITE b 1").front().database == "d4");
}

TEST_CASE("pooler routes: a removed route refuses with NODATABASE under a lease", "[pooler][routes]") {
  RoutesTrial trial;
  auto alice = trial.client("alice");
  CHECK(alice->ask("WRITE a 1") == "OK");
  trial.removeRoute("strict");
  for (const char* text : {"WRITE a 2", "READ a", "BEGIN"}) {
    CHECK(alice->ask(text) == "NODATABASE");
    CHECK(alice->last->elapsed() == 0ms);
    CHECK(alice->last->reply->state == TransactionState::idle);
    CHECK_FALSE(alice->last->reply->retryAfter);
  }
  CHECK(trial.client("bob")->refusal.fault == StatementFault::noDatabase);
  CHECK(trial.runsOf("WRITE a 2").empty());
}

TEST_CASE("pooler routes: a removed route refuses with CONGESTED without a lease", "[pooler][routes]") {
  RoutesTrial trial;
  auto alice = trial.client("alice");
  trial.removeRoute("strict");
  trial.updates.endLease(fleetTopic);
  CHECK(alice->ask("WRITE a 2") == "CONGESTED");
  CHECK(trial.client("bob")->refusal.fault == StatementFault::busy);
}

TEST_CASE("pooler routes: a route that is removed while a statement waits refuses it", "[pooler][routes]") {
  RoutesTrial trial;
  trial.publishShare(1);
  trial.run(20ms);
  auto alice = trial.client("alice");
  auto bob = trial.client("bob");
  alice->ask("BEGIN");
  CHECK(alice->ask("WRITE a 1") == "OK");
  auto asked = bob->start("WRITE b 1");
  trial.run(50ms);
  trial.removeRoute("strict");
  CHECK(bob->finish(asked) == "NODATABASE");
  CHECK(asked->elapsed() <= 100ms);
}

TEST_CASE("pooler routes: an open transaction of a removed route may finish", "[pooler][routes]") {
  RoutesTrial trial;
  auto alice = trial.client("alice");
  alice->ask("BEGIN");
  CHECK(alice->ask("WRITE a 1") == "OK");
  trial.removeRoute("strict");
  CHECK(alice->ask("WRITE a 2") == "OK");
  CHECK(alice->ask("COMMIT") == "OK");
  CHECK(trial.backEnds.at("d1").committed.size() == 2);
  CHECK(alice->ask("BEGIN") == "NODATABASE");
}

TEST_CASE("pooler routes: a route that is added again serves its earlier sessions", "[pooler][routes]") {
  RoutesTrial trial;
  auto alice = trial.client("alice");
  auto kind = trial.kinds.at(KindName{"strict"});
  trial.removeRoute("strict");
  CHECK(alice->ask("READ a") == "NODATABASE");
  trial.kinds[KindName{"strict"}] = kind;
  trial.publish();
  CHECK(alice->ask("READ a") == "OK");
}

TEST_CASE("pooler routes: a changed route takes effect at the next statement or transaction", "[pooler][routes]") {
  RoutesTrial trial;
  auto alice = trial.client("alice");
  alice->ask("BEGIN");
  CHECK(alice->ask("WRITE a 1") == "OK");
  trial.moveRoute("strict", "s2");
  CHECK(alice->ask("WRITE a 2") == "OK");
  CHECK(alice->ask("COMMIT") == "OK");
  CHECK(alice->ask("WRITE a 3") == "OK");
  alice->ask("BEGIN");
  CHECK(alice->ask("WRITE a 4") == "OK");
  CHECK(alice->ask("COMMIT") == "OK");
  CHECK(trial.runsOf("WRITE a 1").front().database == "d1");
  CHECK(trial.runsOf("WRITE a 2").front().database == "d1");
  CHECK(trial.runsOf("WRITE a 3").front().database == "d4");
  CHECK(trial.runsOf("WRITE a 4").front().database == "d4");
}

TEST_CASE("pooler routes: a statement that waits while its route changes runs at the new service", "[pooler][routes]") {
  RoutesTrial trial;
  trial.publishShare(1);
  trial.run(20ms);
  auto alice = trial.client("alice");
  auto bob = trial.client("bob");
  alice->ask("BEGIN");
  CHECK(alice->ask("WRITE a 1") == "OK");
  auto asked = bob->start("WRITE b 1");
  trial.run(50ms);
  trial.moveRoute("strict", "s2");
  CHECK(bob->finish(asked) == "OK");
  CHECK(trial.runsOf("WRITE b 1").front().database == "d4");
}

TEST_CASE("pooler routes: a changed timeout takes effect at the next statement", "[pooler][routes]") {
  RoutesTrial trial;
  auto alice = trial.client("alice");
  trial.backEnds.at("d1").slowDelay = 10s;
  trial.kinds[KindName{"strict"}].statementTimeout = 300ms;
  trial.publish();
  trial.backEnds.script("d1", StatementKind::read, ScriptedOutcome::slow);
  CHECK(alice->ask("READ a") == "EXPIRED");
  CHECK(alice->last->elapsed() <= 310ms);
}

TEST_CASE("pooler routes: the connections of a removed service are closed", "[pooler][routes]") {
  RoutesTrial trial;
  auto bob = trial.client("bob", "other");
  CHECK(bob->ask("WRITE b 1") == "OK");
  CHECK(trial.backEnds.at("d4").connections == 1);
  trial.removeRoute("other");
  trial.run(200ms);
  CHECK(trial.backEnds.at("d4").connections == 0);
  CHECK(bob->ask("WRITE b 2") == "NODATABASE");
}

TEST_CASE("pooler routes: values and prepared names stay when a route moves", "[pooler][routes]") {
  RoutesTrial trial;
  auto alice = trial.client("alice");
  alice->ask("SET zone north");
  alice->ask("PREPARE p READ q");
  CHECK(alice->ask("EXECUTE p a") == "OK");
  trial.moveRoute("strict", "s2");
  CHECK(alice->ask("EXECUTE p a") == "OK");
  CHECK(trial.runsOf("EXECUTE p a").back().database == "d4");
}

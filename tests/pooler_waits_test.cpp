#include <catch2/catch.hpp>

#include "tests/pooler_trial.hpp"

using namespace tamarindshift;

namespace {

PoolerTrial::Options oneConnection() {
  PoolerTrial::Options options;
  options.share = 1;
  return options;
}

}  // namespace

TEST_CASE("pooler waits: at most 45% of the statement's timeout, then CONGESTED with a retry time", "[pooler][waits]") {
  PoolerTrial trial(oneConnection());
  auto bound = GENERATE(400ms, 1000ms, 2000ms);
  trial.kinds[KindName{"strict"}].statementTimeout = bound;
  trial.publishService();
  trial.run(20ms);
  auto alice = trial.client("alice");
  auto bob = trial.client("bob");
  alice->ask("BEGIN");
  CHECK(alice->ask("READ a") == "OK");
  for (const char* text : {"READ b", "WRITE b 1"}) {
    CHECK(bob->ask(text) == "CONGESTED");
    CHECK(bob->last->reply->retryAfter);
    CHECK(bob->last->elapsed() >= bound * 44 / 100);
    CHECK(bob->last->elapsed() <= bound * 46 / 100);
    CHECK(trial.runsOf(text).empty());
  }
  bob->ask("BEGIN");
  CHECK(bob->ask("WRITE b 2") == "CONGESTED");
  CHECK(bob->last->reply->retryAfter);
  CHECK(bob->last->elapsed() <= bound * 46 / 100);
  CHECK(bob->last->reply->state == TransactionState::failed);
  CHECK(bob->ask("ROLLBACK") == "OK");
  CHECK(alice->ask("COMMIT") == "OK");
  CHECK(bob->ask("READ b") == "OK");
}

TEST_CASE("pooler waits: the next connection goes by precedence, then by arrival", "[pooler][waits]") {
  PoolerTrial trial(oneConnection());
  trial.addRoute("low", Consistency::primary, 2);
  trial.addRoute("high", Consistency::primary, 0);
  trial.publishFleet();
  trial.publishService();
  trial.run(20ms);
  trial.backEnds.at("d1").runTime = 40ms;
  auto holder = trial.client("holder");
  auto held = holder->start("READ held");
  trial.run(5ms);
  std::vector<std::unique_ptr<TrialClient>> clients;
  std::vector<std::shared_ptr<SentStatement>> asked;
  for (const char* each : {"low1", "strict1", "high1", "low2", "high2", "strict2"}) {
    std::string name{each};
    clients.push_back(trial.client(name, name.substr(0, name.size() - 1)));
    asked.push_back(clients.back()->start("READ " + name));
    trial.run(1ms);
  }
  for (std::size_t index = 0; index < clients.size(); ++index) CHECK(clients[index]->finish(asked[index]) == "OK");
  std::vector<std::string> order;
  for (const auto& run : trial.backEnds.runs) order.push_back(run.statement.text);
  CHECK(order ==
        std::vector<std::string>{"READ held", "READ high1", "READ high2", "READ strict1", "READ strict2", "READ low1", "READ low2"});
}

TEST_CASE("pooler waits: a waiting statement runs as soon as a connection is free", "[pooler][waits]") {
  PoolerTrial trial(oneConnection());
  auto alice = trial.client("alice");
  auto bob = trial.client("bob");
  trial.backEnds.at("d1").runTime = 100ms;
  auto first = alice->start("WRITE a 1");
  trial.run(10ms);
  auto second = bob->start("WRITE b 1");
  CHECK(alice->finish(first) == "OK");
  CHECK(bob->finish(second) == "OK");
  CHECK(second->elapsed() <= 200ms);
}

TEST_CASE("pooler waits: a statement does not run after it was refused", "[pooler][waits]") {
  PoolerTrial trial(oneConnection());
  auto alice = trial.client("alice");
  auto bob = trial.client("bob");
  alice->ask("BEGIN");
  CHECK(alice->ask("READ a") == "OK");
  CHECK(bob->ask("WRITE b 1") == "CONGESTED");
  CHECK(alice->ask("COMMIT") == "OK");
  trial.run(2s);
  CHECK(trial.runsOf("WRITE b 1").empty());
  CHECK(trial.pooler->waiting() == 0);
}

TEST_CASE("pooler waits: busy attempts do not extend the wait", "[pooler][waits]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  for (int times = 0; times < 100; ++times) trial.backEnds.script("d1", StatementKind::read, ScriptedOutcome::busy);
  CHECK(alice->ask("READ a") == "CONGESTED");
  CHECK(alice->last->reply->retryAfter);
  CHECK(alice->last->elapsed() <= 550ms);
}

TEST_CASE("pooler waits: a connection that hangs while it is opened costs no more than the wait", "[pooler][waits]") {
  PoolerTrial trial;
  trial.backEnds.at("d1").opening = ScriptedOpening::hangs;
  auto alice = trial.client("alice");
  CHECK(alice->ask("WRITE a 1") == "CONGESTED");
  CHECK(alice->last->elapsed() <= 460ms);
}

TEST_CASE("pooler waits: attempts to open connections are limited while the database accepts none", "[pooler][waits]") {
  PoolerTrial trial;
  auto opening = GENERATE(ScriptedOpening::refused, ScriptedOpening::overloaded);
  trial.backEnds.at("d1").opening = opening;
  std::vector<std::unique_ptr<TrialClient>> clients;
  for (int number = 0; number < 20; ++number) clients.push_back(trial.client("c" + std::to_string(number)));
  auto until = trial.world.now() + 10s;
  std::vector<std::shared_ptr<SentStatement>> asked(clients.size());
  while (trial.world.now() < until) {
    for (std::size_t index = 0; index < clients.size(); ++index)
      if (!asked[index] || asked[index]->reply) asked[index] = clients[index]->start("READ a");
    trial.run(10ms);
  }
  CHECK(trial.backEnds.at("d1").openings <= 40);
  trial.backEnds.at("d1").opening = ScriptedOpening::accepted;
  trial.run(2s);
  CHECK(clients[0]->ask("READ b") == "OK");
}

#include <algorithm>

#include <catch2/catch.hpp>

#include "tests/pooler_trial.hpp"

using namespace tamarindshift;

TEST_CASE("pooler writes: a write whose reply was lost is not sent again", "[pooler][writes]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  trial.backEnds.script("d1", StatementKind::write, ScriptedOutcome::lostAfterRunning);
  CHECK(alice->ask("WRITE a 1") == "UNRESOLVED");
  trial.run(5s);
  CHECK(trial.runsOf("WRITE a 1").size() == 1);
  CHECK(trial.committed(alice->last->id) == 1);
}

TEST_CASE("pooler writes: a write on a connection found closed is sent over another", "[pooler][writes]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  CHECK(alice->ask("WRITE a 0") == "OK");
  trial.backEnds.script("d1", StatementKind::write, ScriptedOutcome::unsent);
  CHECK(alice->ask("WRITE a 1") == "OK");
  CHECK(trial.runsOf("WRITE a 1").size() == 1);
  CHECK(trial.backEnds.at("d1").openings == 2);
}

TEST_CASE("pooler writes: a write interrupted by a change of primary has an unknown outcome and is not sent to the new one",
          "[pooler][writes]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  trial.backEnds.at("d1").runTime = 300ms;
  auto asked = alice->start("WRITE a 1");
  trial.run(50ms);
  trial.publishPrimary(2, "d2", false);
  CHECK(alice->finish(asked) == "UNRESOLVED");
  CHECK(asked->elapsed() < 60ms);
  trial.makePrimary("d2");
  trial.publishPrimary(2, "d2", true);
  trial.run(3s);
  CHECK(trial.runsOf("WRITE a 1").size() == 1);
  CHECK(alice->ask("WRITE a 2") == "OK");
  CHECK(trial.runsOf("WRITE a 2").front().database == "d2");
}

TEST_CASE("pooler writes: a write refused as busy or read-only is retried within the wait", "[pooler][writes]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  auto outcome = GENERATE(ScriptedOutcome::busy, ScriptedOutcome::readOnly);
  for (int times = 0; times < 3; ++times) trial.backEnds.script("d1", StatementKind::write, outcome);
  CHECK(alice->ask("WRITE a 1") == "OK");
  CHECK(trial.runsOf("WRITE a 1").size() == 4);
  CHECK(trial.committed(alice->last->id) == 1);
  CHECK(alice->last->elapsed() < 200ms);
}

TEST_CASE("pooler writes: a write that stays busy is answered after the wait with a retry time", "[pooler][writes]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  auto outcome = GENERATE(ScriptedOutcome::busy, ScriptedOutcome::readOnly);
  for (int times = 0; times < 100; ++times) trial.backEnds.script("d1", StatementKind::write, outcome);
  auto word = alice->ask("WRITE a 1");
  CHECK((word == "CONGESTED" || word == "READONLY"));
  CHECK(alice->last->reply->retryAfter);
  CHECK(alice->last->elapsed() >= 300ms);
  CHECK(alice->last->elapsed() <= 550ms);
  CHECK(trial.committed(alice->last->id) == 0);
  auto tries = trial.runsOf("WRITE a 1").size();
  trial.run(3s);
  CHECK(trial.runsOf("WRITE a 1").size() == tries);
}

TEST_CASE("pooler writes: every attempt sends the same text byte for byte", "[pooler][writes]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  trial.backEnds.script("d1", StatementKind::write, ScriptedOutcome::busy);
  const std::string text = "WRITE a  two blanks,\ttab \x01 and \xc3\xa9 ";
  CHECK(alice->ask(text) == "OK");
  auto runs = trial.runsOf(text);
  REQUIRE(runs.size() == 2);
  CHECK(runs[0].statement.id == alice->last->id);
  CHECK(runs[1].statement.id == alice->last->id);
}

TEST_CASE("pooler writes: none is sent once the lease has ended", "[pooler][writes]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  CHECK(alice->ask("WRITE a 0") == "OK");
  alice->ask("SET zone north");
  trial.backEnds.script("d1", StatementKind::set, ScriptedOutcome::slow);
  auto asked = alice->start("WRITE a 1");
  trial.run(50ms);
  trial.endLease();
  CHECK(alice->finish(asked) == "CONGESTED");
  CHECK(trial.runsOf("WRITE a 1").empty());
}

TEST_CASE("pooler writes: none is sent to a former primary once the change is known", "[pooler][writes]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  CHECK(alice->ask("WRITE a 0") == "OK");
  alice->ask("SET zone north");
  trial.backEnds.script("d1", StatementKind::set, ScriptedOutcome::slow);
  auto asked = alice->start("WRITE a 1");
  trial.run(50ms);
  trial.makePrimary("d2");
  bool planned = GENERATE(false, true);
  trial.publishPrimary(2, "d2", false, planned);
  trial.run(50ms);
  trial.publishPrimary(2, "d2", true, planned);
  CHECK(alice->finish(asked) == "OK");
  auto runs = trial.runsOf("WRITE a 1");
  REQUIRE(runs.size() == 1);
  CHECK(runs.front().database == "d2");
}

TEST_CASE("pooler writes: without a promoted primary a write waits for it and runs once", "[pooler][writes]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  trial.publishPrimary(2, "d2", false);
  trial.run(20ms);
  auto asked = alice->start("WRITE a 1");
  trial.run(200ms);
  CHECK(trial.runsOf("WRITE a 1").empty());
  trial.makePrimary("d2");
  trial.publishPrimary(2, "d2", true);
  CHECK(alice->finish(asked) == "OK");
  CHECK(trial.runsOf("WRITE a 1").size() == 1);
}

TEST_CASE("pooler writes: no write runs twice and guarantees hold under random faults of connections", "[pooler][writes][seeds]") {
  for (std::uint64_t seed = 100; seed < 112; ++seed) {
    PoolerTrial::Options options;
    options.seed = seed;
    options.share = 2;
    PoolerTrial trial(options);
    INFO("seed " << seed);
    auto& world = trial.world;
    std::vector<std::unique_ptr<TrialClient>> clients;
    for (int number = 0; number < 5; ++number) clients.push_back(trial.client("c" + std::to_string(number)));
    std::uint64_t epoch = 1;
    std::map<std::string, int> outcomes;
    std::vector<std::shared_ptr<SentStatement>> asked(clients.size());
    std::string leader = "d1";
    for (int step = 0; step < 9000; ++step) {
      trial.run(1ms);
      if (world.chance(3)) trial.backEnds.closeConnections(leader);
      if (world.chance(20)) {
        ScriptedOutcome scripted[] = {ScriptedOutcome::busy,
                                      ScriptedOutcome::lostAfterRunning,
                                      ScriptedOutcome::lostBeforeRunning,
                                      ScriptedOutcome::readOnly,
                                      ScriptedOutcome::slow,
                                      ScriptedOutcome::unsent,
                                      ScriptedOutcome::silent,
                                      ScriptedOutcome::failed};
        trial.backEnds.script(leader, world.chance(700) ? StatementKind::write : StatementKind::commit, scripted[world.below(8)]);
      }
      if (step % 1500 == 700) {
        leader = "d" + std::to_string(1 + world.below(3));
        trial.publishPrimary(++epoch, leader, false, world.chance(500));
      }
      if (step % 1500 == 1300) {
        trial.makePrimary(leader);
        trial.publishPrimary(epoch, leader, true);
      }
      if (step % 2000 == 100) trial.endLease();
      if (step % 2000 == 400) trial.renewLease();
      for (std::size_t index = 0; index < clients.size(); ++index) {
        if (asked[index] && !asked[index]->reply) continue;
        if (!world.chance(200)) continue;
        if (asked[index]) ++outcomes[asked[index]->outcome()];
        auto state = asked[index] ? asked[index]->reply->state : TransactionState::idle;
        std::string text = "WRITE a x";
        if (state == TransactionState::failed) text = "ROLLBACK";
        if (state == TransactionState::idle && world.chance(300)) text = "BEGIN";
        if (state == TransactionState::open && world.chance(400)) text = world.chance(800) ? "COMMIT" : "ROLLBACK";
        asked[index] = clients[index]->start(text);
      }
    }
    trial.runUntil(5s, [&] {
      return std::all_of(asked.begin(), asked.end(), [](const auto& each) {
        return !each || each->reply;
      });
    });
    CHECK(outcomes["OK"] > 100);
    CHECK(outcomes["UNRESOLVED"] > 0);
    CHECK(outcomes["no reply"] == 0);
  }
}

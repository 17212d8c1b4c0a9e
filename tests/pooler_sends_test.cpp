#include <catch2/catch.hpp>

#include "tests/pooler_trial.hpp"

using namespace tamarindshift;

TEST_CASE("pooler sends: a transaction's statement is not sent if the lease ended while names were being prepared", "[pooler][sends]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  bool lease = GENERATE(true, false);
  CHECK(alice->ask("PREPARE p WRITE q") == "OK");
  CHECK(alice->ask("BEGIN") == "OK");
  CHECK(alice->ask("WRITE a 1") == "OK");
  trial.backEnds.script("d1", StatementKind::prepareWrite, ScriptedOutcome::slow);
  auto asked = alice->start("EXECUTE p a 2");
  trial.run(100ms);
  if (lease)
    trial.endLease();
  else
    trial.publishPrimary(2, "d2", false);
  CHECK(alice->finish(asked) == "ABORTED");
  CHECK(trial.runsOf("EXECUTE p a 2").empty());
  CHECK(alice->ask("ROLLBACK") == "OK");
}

TEST_CASE("pooler sends: a busy COMMIT is not sent again once the lease or epoch has ended", "[pooler][sends]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  bool lease = GENERATE(true, false);
  CHECK(alice->ask("BEGIN") == "OK");
  CHECK(alice->ask("WRITE a 1") == "OK");
  for (int times = 0; times < 4; ++times) trial.backEnds.script("d1", StatementKind::commit, ScriptedOutcome::busy);
  auto asked = alice->start("COMMIT");
  trial.runUntil(1s, [&] {
    return trial.runsOf("COMMIT").size() == 4;
  });
  trial.run(20ms);
  if (lease)
    trial.endLease();
  else
    trial.publishPrimary(2, "d2", false);
  CHECK(alice->finish(asked) == "ABORTED");
  CHECK(alice->last->reply->state == TransactionState::idle);
  CHECK(trial.runsOf("COMMIT").size() == 4);
}

TEST_CASE("pooler sends: a fault that guarantees no effect ends the transaction, so that none of it can be committed", "[pooler][sends]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  CHECK(alice->ask("BEGIN") == "OK");
  CHECK(alice->ask("WRITE a 1") == "OK");
  for (int times = 0; times < 200; ++times) trial.backEnds.script("d1", StatementKind::write, ScriptedOutcome::busy);
  CHECK(alice->ask("WRITE a 2") == "CONGESTED");
  CHECK(alice->last->reply->state == TransactionState::failed);
  CHECK(alice->last->reply->retryAfter);
  CHECK(alice->ask("COMMIT") == "ABORTED");
  trial.run(100ms);
  CHECK(trial.backEnds.at("d1").committed.empty());
}

TEST_CASE("pooler sends: a COMMIT that stays busy is refused with a retry time", "[pooler][sends]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  CHECK(alice->ask("BEGIN") == "OK");
  CHECK(alice->ask("WRITE a 1") == "OK");
  for (int times = 0; times < 200; ++times) trial.backEnds.script("d1", StatementKind::commit, ScriptedOutcome::busy);
  CHECK(alice->ask("COMMIT") == "CONGESTED");
  CHECK(alice->last->reply->retryAfter);
  CHECK(alice->last->reply->state == TransactionState::idle);
  trial.run(100ms);
  CHECK(trial.backEnds.at("d1").committed.empty());
}

TEST_CASE("pooler sends: names prepared inside a rolled-back transaction are prepared again", "[pooler][sends]") {
  PoolerTrial::Options options;
  options.share = 1;
  PoolerTrial trial(options);
  trial.backEnds.at("d1").rollbackRestoresState = GENERATE(true, false);
  auto alice = trial.client("alice");
  auto bob = trial.client("bob");
  auto how = GENERATE(as<std::string>{}, "ROLLBACK", "leaves", "fails");
  CHECK(alice->ask("PREPARE p READ q") == "OK");
  CHECK(bob->ask("PREPARE p READ q") == "OK");
  CHECK(alice->ask("BEGIN") == "OK");
  CHECK(alice->ask("WRITE a 1") == "OK");
  CHECK(alice->ask("EXECUTE p a") == "OK");
  if (how == "ROLLBACK") CHECK(alice->ask("ROLLBACK") == "OK");
  if (how == "leaves") alice->leave();
  if (how == "fails") {
    trial.backEnds.script("d1", StatementKind::read, ScriptedOutcome::failed);
    CHECK(alice->ask("READ a") == "FAILED");
    CHECK(alice->ask("ROLLBACK") == "OK");
  }
  trial.run(50ms);
  CHECK(bob->ask("BEGIN") == "OK");
  CHECK(bob->ask("EXECUTE p a") == "OK");
  CHECK(bob->ask("COMMIT") == "OK");
}

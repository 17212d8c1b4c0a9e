#include <catch2/catch.hpp>

#include "tests/pooler_trial.hpp"

using namespace tamarindshift;

TEST_CASE("pooler transactions: the first statement after the pooler ended the transaction gets ABORTED", "[pooler][mended]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  bool leaving = GENERATE(false, true);
  if (leaving) trial.pooler->drain();
  alice->ask("BEGIN");
  CHECK(alice->ask("WRITE a 1") == "OK");
  trial.run(3300ms);
  auto text = GENERATE(as<std::string>{}, "WRITE a 2", "READ a");
  CHECK(alice->ask(text) == "ABORTED");
  CHECK(alice->last->reply->state == TransactionState::failed);
  CHECK(alice->ask("READ b") == "MALFORMED");
  CHECK(alice->ask("ROLLBACK") == "OK");
}

TEST_CASE("pooler transactions: a COMMIT that was refused as busy is retried on its connection", "[pooler][mended]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  alice->ask("BEGIN");
  CHECK(alice->ask("WRITE a 1") == "OK");
  trial.backEnds.script("d1", StatementKind::commit, ScriptedOutcome::busy);
  CHECK(alice->ask("COMMIT") == "OK");
  CHECK(trial.runsOf("COMMIT").size() == 2);
}

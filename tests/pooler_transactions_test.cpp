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

TEST_CASE("pooler transactions: BEGIN is sent with the first statement, all on one connection", "[pooler][transactions]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  CHECK(alice->ask("BEGIN") == "OK");
  auto begin = alice->last->id;
  CHECK(alice->last->reply->stamp == "-");
  CHECK(alice->last->reply->state == TransactionState::open);
  CHECK(trial.backEnds.runs.empty());
  CHECK(alice->ask("READ a") == "OK");
  CHECK(alice->last->reply->state == TransactionState::open);
  REQUIRE(trial.backEnds.runs.size() == 2);
  CHECK(trial.backEnds.runs[0].statement.id == begin);
  CHECK(trial.backEnds.runs[0].statement.text == "BEGIN");
  CHECK(alice->ask("WRITE a 1") == "OK");
  CHECK(alice->ask("COMMIT") == "OK");
  CHECK(alice->last->reply->state == TransactionState::idle);
  REQUIRE(trial.backEnds.runs.size() == 4);
  for (const auto& run : trial.backEnds.runs) CHECK(run.connection == trial.backEnds.runs.front().connection);
  CHECK(trial.backEnds.at("d1").committed.size() == 1);
}

TEST_CASE("pooler transactions: statements of others never run inside one, even if there is no other connection",
          "[pooler][transactions]") {
  PoolerTrial trial(oneConnection());
  auto alice = trial.client("alice");
  auto bob = trial.client("bob");
  alice->ask("BEGIN");
  CHECK(alice->ask("WRITE a 1") == "OK");
  auto asked = bob->start("WRITE b 1");
  trial.run(200ms);
  CHECK_FALSE(asked->reply);
  CHECK(alice->ask("COMMIT") == "OK");
  CHECK(bob->finish(asked) == "OK");
  CHECK(trial.backEnds.at("d1").committed.size() == 2);
}

TEST_CASE("pooler transactions: a read-only one goes to a replica, and its BEGIN carries AFTER", "[pooler][transactions]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  auto bob = trial.client("bob", "bounded");
  CHECK(alice->ask("WRITE a 1") == "OK");
  CHECK(bob->ask("BEGIN READ") == "OK");
  CHECK(bob->ask("READ a") == "OK");
  CHECK(bob->ask("READ b") == "OK");
  CHECK(bob->ask("COMMIT") == "OK");
  auto begins = trial.runsOf("BEGIN READ");
  REQUIRE(begins.size() == 1);
  CHECK(begins.front().database != "d1");
  CHECK(begins.front().minPosition == LogPosition{Epoch{3}, Position{101}});
  for (const char* text : {"READ a", "READ b", "COMMIT"}) {
    CHECK(trial.runsOf(text).front().connection == begins.front().connection);
    CHECK_FALSE(trial.runsOf(text).front().minPosition);
  }
}

TEST_CASE("pooler transactions: a plain one goes to the primary on every route", "[pooler][transactions]") {
  PoolerTrial trial;
  auto host = GENERATE(as<std::string>{}, "strict", "bounded", "house");
  auto alice = trial.client("alice", host);
  CHECK(alice->ask("WRITE warm 1") == "OK");
  alice->ask("BEGIN");
  CHECK(alice->ask("READ a") == "OK");
  CHECK(alice->ask("COMMIT") == "OK");
  CHECK(trial.runsOf("BEGIN").front().database == "d1");
  CHECK_FALSE(trial.runsOf("BEGIN").front().minPosition);
}

TEST_CASE("pooler transactions: one without statements needs no connection until its COMMIT", "[pooler][transactions]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  alice->ask("BEGIN");
  CHECK(alice->ask("ROLLBACK") == "OK");
  CHECK(trial.backEnds.runs.empty());
  alice->ask("BEGIN");
  CHECK(alice->ask("COMMIT") == "OK");
  CHECK(trial.runsOf("BEGIN").size() == 1);
  CHECK(trial.runsOf("COMMIT").size() == 1);
}

TEST_CASE("pooler transactions: the pooler answers ROLLBACK itself; the connection is rolled back and kept", "[pooler][transactions]") {
  PoolerTrial trial(oneConnection());
  auto alice = trial.client("alice");
  alice->ask("BEGIN");
  CHECK(alice->ask("WRITE a 1") == "OK");
  CHECK(alice->ask("ROLLBACK") == "OK");
  CHECK(alice->last->elapsed() == 0ms);
  CHECK(alice->ask("READ a") == "OK");
  CHECK(trial.backEnds.at("d1").openings == 1);
  CHECK(trial.backEnds.at("d1").committed.empty());
}

TEST_CASE("pooler transactions: one whose client disconnects is rolled back and its connection kept", "[pooler][transactions]") {
  PoolerTrial trial(oneConnection());
  auto alice = trial.client("alice");
  auto bob = trial.client("bob");
  alice->ask("BEGIN");
  CHECK(alice->ask("WRITE a 1") == "OK");
  alice->leave();
  CHECK(bob->ask("READ a") == "OK");
  CHECK(trial.backEnds.at("d1").openings == 1);
  CHECK(trial.backEnds.at("d1").committed.empty());
  std::size_t rollbacks = 0;
  for (const auto& run : trial.backEnds.runs) rollbacks += run.statement.kind == StatementKind::rollback && run.statement.id.empty();
  CHECK(rollbacks == 1);
  CHECK(trial.pooler->sessions() == 1);
}

TEST_CASE("pooler transactions: one that wrote and then lost a reply is not committed", "[pooler][transactions]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  alice->ask("BEGIN");
  CHECK(alice->ask("WRITE a 1") == "OK");
  trial.backEnds.script("d1", StatementKind::write, ScriptedOutcome::silent);
  CHECK(alice->ask("WRITE a 2") == "ABORTED");
  CHECK(alice->last->elapsed() <= 1010ms);
  CHECK(alice->ask("COMMIT") == "ABORTED");
  trial.run(2s);
  CHECK(trial.backEnds.at("d1").committed.empty());
}

TEST_CASE("pooler transactions: a BEGIN that was not run is retried within the wait", "[pooler][transactions]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  auto outcome = GENERATE(ScriptedOutcome::busy, ScriptedOutcome::readOnly, ScriptedOutcome::lostBeforeRunning,
                          ScriptedOutcome::lostAfterRunning, ScriptedOutcome::unsent);
  trial.backEnds.script("d1", StatementKind::begin, outcome);
  alice->ask("BEGIN");
  CHECK(alice->ask("WRITE a 1") == "OK");
  CHECK(alice->last->elapsed() < 200ms);
  CHECK(alice->ask("COMMIT") == "OK");
}

TEST_CASE("pooler transactions: a busy statement inside one is retried on the same connection", "[pooler][transactions]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  alice->ask("BEGIN");
  CHECK(alice->ask("READ a") == "OK");
  for (int times = 0; times < 3; ++times) trial.backEnds.script("d1", StatementKind::write, ScriptedOutcome::busy);
  CHECK(alice->ask("WRITE a 1") == "OK");
  CHECK(alice->ask("COMMIT") == "OK");
  CHECK(trial.runsOf("WRITE a 1").size() == 4);
}

TEST_CASE("pooler transactions: a statement that the database refuses fails the transaction with the database's fault",
          "[pooler][transactions]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  alice->ask("BEGIN");
  CHECK(alice->ask("WRITE a 1") == "OK");
  trial.backEnds.at("d1").primary = false;
  CHECK(alice->ask("WRITE a 2") == "READONLY");
  CHECK(alice->last->reply->state == TransactionState::failed);
  CHECK(alice->ask("ROLLBACK") == "OK");
  CHECK(trial.backEnds.at("d1").committed.empty());
}

TEST_CASE("pooler transactions: one that is idle too long is ended and its connection serves others", "[pooler][transactions]") {
  PoolerTrial trial(oneConnection());
  auto alice = trial.client("alice");
  auto bob = trial.client("bob");
  alice->ask("BEGIN");
  CHECK(alice->ask("WRITE a 1") == "OK");
  trial.run(2800ms);
  CHECK(bob->ask("READ b") == "OK");
  CHECK(alice->ask("COMMIT") == "ABORTED");
  CHECK(alice->last->reply->state == TransactionState::idle);
  CHECK(trial.backEnds.at("d1").committed.empty());
  CHECK(trial.backEnds.at("d1").openings == 1);
}

TEST_CASE("pooler transactions: idle times below the limit end none", "[pooler][transactions]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  alice->ask("BEGIN");
  for (int times = 0; times < 4; ++times) {
    CHECK(alice->ask("WRITE a 1") == "OK");
    trial.run(2500ms);
  }
  CHECK(alice->ask("COMMIT") == "OK");
  CHECK(trial.backEnds.at("d1").committed.size() == 4);
}

TEST_CASE("pooler transactions: none continues without a lease", "[pooler][transactions]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  alice->ask("BEGIN");
  CHECK(alice->ask("WRITE a 1") == "OK");
  trial.endLease();
  auto text = GENERATE(as<std::string>{}, "COMMIT", "WRITE a 2", "READ a");
  CHECK(alice->ask(text) == "ABORTED");
  CHECK(trial.runsOf(text).empty());
  CHECK(trial.backEnds.at("d1").committed.empty());
}

TEST_CASE("pooler transactions: a drained database gets no new one and open ones may finish", "[pooler][transactions]") {
  PoolerTrial trial;
  auto warm = trial.client("warm");
  CHECK(warm->ask("WRITE a 1") == "OK");
  auto bob = trial.client("bob", "bounded");
  bob->ask("BEGIN READ");
  CHECK(bob->ask("READ a") == "OK");
  auto database = trial.runsOf("BEGIN READ").front().database;
  trial.publishDrained(database);
  trial.run(20ms);
  CHECK(bob->ask("READ b") == "OK");
  CHECK(bob->ask("COMMIT") == "OK");
  bob->ask("BEGIN READ");
  CHECK(bob->ask("READ c") == "OK");
  CHECK(trial.runsOf("BEGIN READ").back().database != database);
}

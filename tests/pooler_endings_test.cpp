#include <catch2/catch.hpp>

#include "tests/pooler_trial.hpp"

using namespace tamarindshift;

// One case per row of "How requests end" in docs/platform.md.

namespace {

void expectCongested(TrialClient& client, const std::string& text, Duration least, Duration most) {
  CHECK(client.ask(text) == "CONGESTED");
  CHECK(client.last->reply->retryAfter);
  CHECK(client.last->elapsed() >= least);
  CHECK(client.last->elapsed() <= most);
  CHECK(client.last->reply->state == TransactionState::idle);
}

}  // namespace

TEST_CASE("pooler ends: no connection in time is CONGESTED with a retry time", "[pooler][endings]") {
  PoolerTrial trial;
  for (const char* name : {"d1", "d2", "d3"}) trial.backEnds.at(name).opening = ScriptedOpening::overloaded;
  auto alice = trial.client("alice");
  expectCongested(*alice, "WRITE a 1", 440ms, 460ms);
  expectCongested(*alice, "READ a", 440ms, 460ms);
  CHECK(trial.backEnds.runs.empty());
}

TEST_CASE("pooler ends: no primary in time is CONGESTED", "[pooler][endings]") {
  PoolerTrial trial;
  trial.publishPrimary(2, "d2", false);
  auto alice = trial.client("alice");
  expectCongested(*alice, "WRITE a 1", 440ms, 460ms);
  CHECK(trial.runsOf("WRITE a 1").empty());
}

TEST_CASE("pooler ends: no lease in time is CONGESTED, for a statement and for a session", "[pooler][endings]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  trial.endLease();
  expectCongested(*alice, "WRITE a 1", 440ms, 460ms);
  CHECK(alice->ask("BEGIN") == "OK");
  CHECK(alice->ask("READ a") == "CONGESTED");
  CHECK(alice->last->reply->state == TransactionState::failed);
  CHECK(alice->ask("ROLLBACK") == "OK");
  CHECK(trial.backEnds.runs.empty());
  trial.updates.endLease(fleetTopic);
  auto bob = trial.client("bob", "nowhere");
  CHECK_FALSE(bob->session);
  CHECK(bob->refusal.fault == StatementFault::busy);
  CHECK(bob->refusal.retryAfter);
}

TEST_CASE("pooler ends: without a lease for long, a statement waits for a small part of its timeout and a session not at all",
          "[pooler][endings]") {
  PoolerTrial trial;
  trial.updates.replicasReply = true;
  auto alice = trial.client("alice");
  REQUIRE(alice->ask("READ a") == "OK");
  trial.endLease();
  trial.updates.endLease(fleetTopic);
  trial.run(1200ms);
  for (const char* text : {"WRITE a 1", "READ a"}) expectCongested(*alice, text, 145ms, 155ms);
  auto asked = trial.clock.now();
  auto bob = trial.client("bob", "nowhere");
  CHECK_FALSE(bob->session);
  CHECK(bob->refusal.retryAfter);
  CHECK(trial.clock.now() - asked <= 5ms);
}

TEST_CASE("pooler ends: without a lease, a client's retries end well before its deadline", "[pooler][endings]") {
  PoolerTrial trial;
  trial.updates.replicasReply = true;
  auto alice = trial.client("alice");
  REQUIRE(alice->ask("READ a") == "OK");
  trial.endLease();
  auto lapsed = trial.clock.now();
  for (int attempt = 0; attempt < 3; ++attempt) CHECK(alice->ask("WRITE a 1") == "CONGESTED");
  CHECK(trial.clock.now() - lapsed <= 900ms);
  auto later = trial.clock.now();
  for (int attempt = 0; attempt < 3; ++attempt) CHECK(alice->ask("WRITE a 1") == "CONGESTED");
  CHECK(trial.clock.now() - later <= 465ms);
}

TEST_CASE("pooler ends: after a stall of the process, statements wait until the lease is known again", "[pooler][endings]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  REQUIRE(alice->ask("READ a") == "OK");
  trial.clock.freeze();
  trial.run(3s);
  trial.endLease();
  trial.clock.thaw();
  auto asked = alice->start("READ a");
  trial.run(100ms);
  CHECK_FALSE(asked->reply);
  trial.renewLease();
  CHECK(alice->finish(asked) == "OK");
}

TEST_CASE("pooler ends: a statement succeeds if the lease returns in time", "[pooler][endings]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  trial.endLease();
  auto asked = alice->start("WRITE a 1");
  trial.run(300ms);
  CHECK_FALSE(asked->reply);
  trial.renewLease();
  CHECK(alice->finish(asked) == "OK");
  CHECK(asked->elapsed() < 340ms);
}

TEST_CASE("pooler ends: a draining node refuses sessions with CONGESTED", "[pooler][endings]") {
  PoolerTrial trial;
  trial.pooler->drain();
  trial.run(2300ms);
  auto alice = trial.client("alice");
  CHECK_FALSE(alice->session);
  CHECK(alice->refusal.fault == StatementFault::busy);
  CHECK(alice->refusal.retryAfter);
}

TEST_CASE("pooler ends: too many sessions are refused with CONGESTED, until one is closed", "[pooler][endings]") {
  PoolerTrial::Options options;
  options.settings.maxSessions = 2;
  PoolerTrial trial(options);
  auto alice = trial.client("alice");
  auto bob = trial.client("bob");
  CHECK(trial.client("carol")->refusal.fault == StatementFault::busy);
  bob->leave();
  CHECK(trial.client("carol")->session);
}

TEST_CASE("pooler ends: too many waiting statements are refused at once with CONGESTED", "[pooler][endings]") {
  PoolerTrial::Options options;
  options.settings.maxWaiting = 2;
  options.share = 1;
  PoolerTrial trial(options);
  trial.backEnds.at("d1").runTime = 200ms;
  std::vector<std::unique_ptr<TrialClient>> clients;
  for (int number = 0; number < 4; ++number) clients.push_back(trial.client("c" + std::to_string(number)));
  auto running = clients[0]->start("WRITE a 0");
  trial.run(20ms);
  auto first = clients[1]->start("WRITE a 1");
  auto second = clients[2]->start("WRITE a 2");
  trial.run(5ms);
  CHECK(clients[3]->ask("WRITE a 3") == "CONGESTED");
  CHECK(clients[3]->last->elapsed() == 0ms);
  CHECK(clients[3]->last->reply->retryAfter);
  CHECK(clients[0]->finish(running) == "OK");
  CHECK(clients[1]->finish(first) == "OK");
  CHECK(clients[2]->finish(second) == "OK");
}

TEST_CASE("pooler ends: no such route is NODATABASE", "[pooler][endings]") {
  PoolerTrial trial;
  auto alice = trial.client("alice", "nowhere");
  CHECK_FALSE(alice->session);
  CHECK(alice->refusal.fault == StatementFault::noDatabase);
}

TEST_CASE("pooler ends: a transaction lost before its COMMIT was sent is ABORTED", "[pooler][endings]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  SECTION("at a write") {
    alice->ask("BEGIN");
    trial.backEnds.script("d1", StatementKind::write, ScriptedOutcome::lostAfterRunning);
    CHECK(alice->ask("WRITE a 1") == "ABORTED");
    CHECK(alice->last->reply->state == TransactionState::failed);
    CHECK(alice->ask("ROLLBACK") == "OK");
  }
  SECTION("at a read") {
    alice->ask("BEGIN");
    CHECK(alice->ask("WRITE a 1") == "OK");
    trial.backEnds.script("d1", StatementKind::read, ScriptedOutcome::lostAfterRunning);
    CHECK(alice->ask("READ a") == "ABORTED");
    CHECK(alice->last->reply->state == TransactionState::failed);
    CHECK(alice->ask("COMMIT") == "ABORTED");
    CHECK(alice->last->reply->state == TransactionState::idle);
  }
  SECTION("between its statements, noticed at a statement") {
    alice->ask("BEGIN");
    CHECK(alice->ask("WRITE a 1") == "OK");
    trial.backEnds.closeConnections("d1");
    CHECK(alice->ask("WRITE b 1") == "ABORTED");
    CHECK(alice->ask("ROLLBACK") == "OK");
  }
  SECTION("between its statements, noticed at COMMIT") {
    alice->ask("BEGIN");
    CHECK(alice->ask("WRITE a 1") == "OK");
    trial.backEnds.closeConnections("d1");
    CHECK(alice->ask("COMMIT") == "ABORTED");
  }
  CHECK(alice->last->reply->state == TransactionState::idle);
  CHECK(alice->ask("READ a") == "OK");
  CHECK(trial.backEnds.at("d1").committed.empty());
}

TEST_CASE("pooler ends: COMMIT without a reply is ABORTED if nothing was written", "[pooler][endings]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  alice->ask("BEGIN");
  CHECK(alice->ask("READ a") == "OK");
  trial.backEnds.script("d1", StatementKind::commit, ScriptedOutcome::lostAfterRunning);
  CHECK(alice->ask("COMMIT") == "ABORTED");
  CHECK(alice->last->reply->state == TransactionState::idle);
}

TEST_CASE("pooler ends: COMMIT or single write without a reply is UNRESOLVED", "[pooler][endings]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  auto outcome = GENERATE(ScriptedOutcome::lostAfterRunning, ScriptedOutcome::lostBeforeRunning, ScriptedOutcome::silent);
  bool committed = outcome != ScriptedOutcome::lostBeforeRunning;
  SECTION("a single write") {
    trial.backEnds.script("d1", StatementKind::write, outcome);
    CHECK(alice->ask("WRITE a 1") == "UNRESOLVED");
    CHECK(trial.committed(alice->last->id) == (committed ? 1 : 0));
  }
  SECTION("a prepared write") {
    alice->ask("PREPARE p WRITE q");
    trial.backEnds.script("d1", StatementKind::execute, outcome);
    CHECK(alice->ask("EXECUTE p a 1") == "UNRESOLVED");
  }
  SECTION("a COMMIT") {
    alice->ask("BEGIN");
    CHECK(alice->ask("WRITE a 1") == "OK");
    auto id = alice->last->id;
    trial.backEnds.script("d1", StatementKind::commit, outcome);
    CHECK(alice->ask("COMMIT") == "UNRESOLVED");
    CHECK(trial.committed(id) == (committed ? 1 : 0));
  }
  CHECK(alice->last->elapsed() <= 1010ms);
  CHECK(alice->last->reply->state == TransactionState::idle);
  CHECK_FALSE(alice->last->reply->retryAfter);
  trial.run(2s);
  CHECK(alice->ask("READ a") == "OK");
}

TEST_CASE("pooler ends: a write is UNRESOLVED if the lease or epoch ended before its reply", "[pooler][endings]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  bool transaction = GENERATE(false, true);
  bool lease = GENERATE(false, true);
  if (transaction) {
    alice->ask("BEGIN");
    CHECK(alice->ask("WRITE a 1") == "OK");
  }
  trial.backEnds.at("d1").runTime = 100ms;
  auto asked = alice->start(transaction ? "COMMIT" : "WRITE a 1");
  trial.run(50ms);
  if (lease)
    trial.endLease();
  else
    trial.publishPrimary(2, "d2", false);
  CHECK(alice->finish(asked) == "UNRESOLVED");
  CHECK(asked->reply->state == TransactionState::idle);
}

TEST_CASE("pooler ends: a single read without a reply within its timeout is EXPIRED", "[pooler][endings]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  trial.backEnds.at("d1").slowDelay = 5s;
  trial.backEnds.script("d1", StatementKind::read, ScriptedOutcome::slow);
  CHECK(alice->ask("READ a") == "EXPIRED");
  CHECK(alice->last->elapsed() >= 990ms);
  CHECK(alice->last->elapsed() <= 1010ms);
}

TEST_CASE("pooler ends: a database's errors for writes are passed on", "[pooler][endings]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  trial.backEnds.script("d1", StatementKind::write, ScriptedOutcome::failed);
  CHECK(alice->ask("WRITE a 1") == "FAILED");
  CHECK(alice->last->reply->reason == "scripted");
  trial.backEnds.script("d1", StatementKind::write, ScriptedOutcome::expired);
  CHECK(alice->ask("WRITE a 2") == "EXPIRED");
  CHECK(trial.runsOf("WRITE a 1").size() == 1);
  CHECK(trial.runsOf("WRITE a 2").size() == 1);
  alice->ask("BEGIN");
  CHECK(alice->ask("WRITE a 3") == "OK");
  trial.backEnds.script("d1", StatementKind::commit, ScriptedOutcome::failed);
  CHECK(alice->ask("COMMIT") == "FAILED");
  CHECK(trial.runsOf("COMMIT").size() == 1);
  CHECK(alice->last->reply->state == TransactionState::idle);
  CHECK(alice->ask("WRITE a 4") == "OK");
}

TEST_CASE("pooler ends: a failed read is retried at other databases, then its error is passed on", "[pooler][endings]") {
  PoolerTrial trial;
  auto alice = trial.client("alice", "bounded");
  CHECK(alice->ask("READ warm") == "OK");
  for (const char* name : {"d1", "d2", "d3"}) trial.backEnds.script(name, StatementKind::read, ScriptedOutcome::failed);
  CHECK(alice->ask("READ a") == "OK");
  std::set<std::string> databases;
  for (const auto& run : trial.runsOf("READ a")) databases.insert(run.database);
  CHECK(databases.size() == 3);
  auto bob = trial.client("bob");
  for (int times = 0; times < 20; ++times) trial.backEnds.script("d1", StatementKind::read, ScriptedOutcome::failed);
  auto outcome = bob->ask("READ b");
  CHECK((outcome == "FAILED" || outcome == "CONGESTED"));
  CHECK(bob->last->elapsed() <= 560ms);
}

TEST_CASE("pooler ends: a statement that is not allowed in the session's state is MALFORMED", "[pooler][endings]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  for (const char* text : {"COMMIT", "ROLLBACK"}) {
    CHECK(alice->ask(text) == "MALFORMED");
    CHECK(alice->last->reply->state == TransactionState::idle);
  }
  alice->ask("BEGIN");
  CHECK(alice->ask("BEGIN") == "MALFORMED");
  CHECK(alice->last->reply->state == TransactionState::open);
  CHECK(alice->ask("WRITE a 1") == "OK");
  CHECK(alice->ask("BEGIN READ") == "MALFORMED");
  CHECK(alice->ask("EXECUTE nothing a") == "UNKNOWN");
  CHECK(alice->last->reply->state == TransactionState::failed);
  for (const char* text : {"READ a", "WRITE a 1", "SET v 1", "PREPARE p READ q", "DISCARD p", "BEGIN"}) {
    CHECK(alice->ask(text) == "MALFORMED");
    CHECK(alice->last->reply->state == TransactionState::failed);
  }
  CHECK(alice->ask("ROLLBACK") == "OK");
  CHECK(trial.backEnds.at("d1").committed.empty());
}

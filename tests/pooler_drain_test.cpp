#include <catch2/catch.hpp>

#include "tests/pooler_trial.hpp"

using namespace tamarindshift;

namespace {

std::uint32_t wanted(const PoolerTrial& trial) {
  return trial.serviceReport().connectionDemand.at(BranchName{"work"});
}

/// The last time at which a statement of a client reached a database.
Instant lastSent(const PoolerTrial& trial) {
  Instant last{};
  for (const auto& run : trial.backEnds.runs)
    if (!run.statement.id.empty()) last = run.at;
  return last;
}

}  // namespace

TEST_CASE("pooler drain: a draining node is not ready at once and serves for drainServingTime", "[pooler][drain]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  CHECK_FALSE(trial.pooler->notReadyReason());
  trial.pooler->drain();
  CHECK(trial.pooler->notReadyReason());
  for (int times = 0; times < 10; ++times) {
    CHECK(alice->ask("WRITE a 1") == "OK");
    auto bob = trial.client("bob");
    CHECK(bob->session);
    CHECK(bob->ask("READ a") == "OK");
    trial.run(200ms);
  }
  CHECK_FALSE(trial.pooler->closing());
  trial.run(200ms);
  CHECK(trial.pooler->closing());
}

TEST_CASE("pooler drain: the node requests and keeps its share until it is closing", "[pooler][drain]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  trial.pooler->drain();
  auto since = trial.world.now();
  while (trial.world.now() - since < 2100ms) {
    CHECK(alice->ask("READ a") == "OK");
    trial.run(50ms);
    CHECK_FALSE(trial.report().draining);
    CHECK(wanted(trial) > 0);
  }
  trial.run(800ms);
  CHECK(trial.report().draining);
  CHECK(wanted(trial) == 0);
}

TEST_CASE("pooler drain: an open transaction may finish within half of the stop time", "[pooler][drain]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  auto bob = trial.client("bob");
  trial.pooler->drain();
  trial.run(2000ms);
  for (auto* client : {alice.get(), bob.get()}) {
    client->ask("BEGIN");
    CHECK(client->ask("WRITE a 1") == "OK");
  }
  trial.run(900ms);
  CHECK(alice->ask("WRITE a 2") == "OK");
  CHECK(alice->ask("COMMIT") == "OK");
  trial.run(300ms);
  CHECK(bob->ask("COMMIT") == "ABORTED");
  CHECK(trial.backEnds.at("d1").committed.size() == 2);
}

TEST_CASE("pooler drain: a transaction in constant use is ended after half of the stop time too", "[pooler][drain]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  trial.pooler->drain();
  alice->ask("BEGIN");
  auto since = trial.world.now();
  while (trial.world.now() - since < 2900ms) {
    CHECK(alice->ask("READ a") == "OK");
    trial.run(100ms);
  }
  trial.run(300ms);
  CHECK(alice->ask("COMMIT") == "ABORTED");
}

// Guards against statements that reach a database so late that the process exits before their replies.
TEST_CASE("pooler drain: a transaction without pauses is ended after half of the stop time", "[pooler][drain]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  trial.pooler->drain();
  auto since = trial.world.now();
  trial.run(2100ms);
  alice->ask("BEGIN");
  trial.backEnds.at("d1").runTime = 130ms;
  while (trial.world.now() - since <= 3s) CHECK(alice->ask("READ a") == "OK");
  auto text = GENERATE(as<std::string>{}, "READ a", "WRITE a 1", "COMMIT");
  auto asked = alice->start(text);
  CHECK(alice->finish(asked) == "ABORTED");
  CHECK(asked->elapsed() < 10ms);
  CHECK(asked->reply->retryAfter);
  trial.run(1s);
  CHECK(lastSent(trial) - since <= 3s);
}

// The same for statements that the database has not run yet and that are sent again.
TEST_CASE("pooler drain: no statement of a transaction is retried after half of the stop time", "[pooler][drain]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  trial.pooler->drain();
  auto since = trial.world.now();
  trial.run(2100ms);
  alice->ask("BEGIN");
  CHECK(alice->ask("WRITE a 1") == "OK");
  trial.run(850ms);
  bool commits = GENERATE(false, true);
  auto kind = commits ? StatementKind::commit : StatementKind::read;
  for (int times = 0; times < 20; ++times) trial.backEnds.script("d1", kind, ScriptedOutcome::busy);
  CHECK(alice->ask(commits ? "COMMIT" : "READ a") == "ABORTED");
  trial.run(1s);
  CHECK(lastSent(trial) - since <= 3s);
  CHECK(trial.backEnds.at("d1").committed.empty());
}

// Guards against a share that goes while open transactions still need connections.
TEST_CASE("pooler drain: the share is kept while a transaction is open, up to half of the stop time", "[pooler][drain]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  trial.pooler->drain();
  trial.run(2s);
  alice->ask("BEGIN");
  trial.run(850ms);
  CHECK_FALSE(trial.report().draining);
  CHECK(wanted(trial) > 0);
  CHECK(alice->ask("READ a") == "OK");
  bool ends = GENERATE(false, true);
  if (ends) CHECK(alice->ask("ROLLBACK") == "OK");
  trial.run(ends ? 600ms : 750ms);
  CHECK(trial.report().draining);
  CHECK(wanted(trial) == 0);
}

// The same for a single statement that waits for a connection.
TEST_CASE("pooler drain: the share is kept while a statement waits", "[pooler][drain]") {
  PoolerTrial::Options options;
  options.share = 1;
  PoolerTrial trial(options);
  auto alice = trial.client("alice");
  auto bob = trial.client("bob");
  trial.pooler->drain();
  trial.run(2100ms);
  trial.backEnds.at("d1").runTime = 350ms;
  auto first = alice->start("READ a");
  auto second = bob->start("READ b");
  trial.run(600ms);
  CHECK(second->reply == std::nullopt);
  CHECK_FALSE(trial.report().draining);
  CHECK(wanted(trial) > 0);
  CHECK(bob->finish(second) == "OK");
}

// Guards against statements that wait until the process exits, for a connection that can't come any more.
TEST_CASE("pooler drain: what waits for a connection is answered after half of the stop time", "[pooler][drain]") {
  PoolerTrial::Options options;
  options.share = 1;
  PoolerTrial trial(options);
  trial.setStatementTimeout("strict", 8s);
  auto alice = trial.client("alice");
  auto bob = trial.client("bob");
  auto carol = trial.client("carol");
  trial.pooler->drain();
  auto since = trial.world.now();
  trial.run(2s);
  trial.backEnds.at("d1").runTime = 4s;
  bob->ask("BEGIN");
  alice->start("READ a");
  auto inTransaction = bob->start("READ b");
  auto single = carol->start("WRITE c 1");
  trial.run(900ms);
  CHECK(inTransaction->reply == std::nullopt);
  CHECK(single->reply == std::nullopt);
  for (const auto& asked : {inTransaction, single}) {
    CHECK(trial.runUntil(300ms, [&] {
      return asked->reply.has_value();
    }));
    CHECK(asked->outcome() == "CONGESTED");
    CHECK(asked->reply->retryAfter);
    CHECK(asked->repliedAt - since > 3s);
  }
}

TEST_CASE("pooler drain: once the share of a closing node has gone, nothing waits for it", "[pooler][drain]") {
  PoolerTrial trial;
  trial.setStatementTimeout("strict", 8s);
  auto alice = trial.client("alice");
  trial.pooler->drain();
  trial.run(2300ms);
  trial.publishShare(0);
  trial.run(200ms);
  auto asked = alice->start("WRITE a 1");
  CHECK(alice->finish(asked) == "CONGESTED");
  CHECK(asked->elapsed() < 150ms);
}

// Guards against an exit with unanswered statements; these have run since the first half of the stop time.
TEST_CASE("pooler drain: what still runs at the end of the stop time is answered before the exit", "[pooler][drain]") {
  PoolerTrial trial;
  trial.setStatementTimeout("strict", 8s);
  auto alice = trial.client("alice");
  trial.pooler->drain();
  trial.run(2500ms);
  trial.backEnds.at("d1").runTime = 7s;
  auto text = GENERATE(as<std::string>{}, "READ a", "WRITE a 1");
  auto asked = alice->start(text);
  trial.run(2700ms);
  CHECK(asked->reply == std::nullopt);
  CHECK(trial.runUntil(400ms, [&] {
    return trial.pooler->stopped();
  }));
  REQUIRE(asked->reply);
  CHECK(asked->outcome() == (text == "READ a" ? "CONGESTED" : "UNRESOLVED"));
}

// Guards against an exit in the middle of running work where the stop time is short.
TEST_CASE("pooler drain: running work has five sixths of a short stop time, too", "[pooler][drain]") {
  PoolerTrial::Options options;
  options.settings.timings.stop = 4s;
  options.settings.timings.stopTransactions = 2s;
  PoolerTrial trial(options);
  trial.setStatementTimeout("strict", 8s);
  auto alice = trial.client("alice");
  trial.pooler->drain();
  auto since = trial.world.now();
  trial.run(1s);
  trial.backEnds.at("d1").runTime = 7s;
  auto asked = alice->start("WRITE a 1");
  CHECK(trial.runUntil(4s, [&] {
    return trial.pooler->stopped();
  }));
  CHECK(asked->outcome() == "UNRESOLVED");
  CHECK(asked->repliedAt - since > trial.settings.timings.stop * 5 / 6);
  CHECK(trial.world.now() - since < 3800ms);
}

TEST_CASE("pooler drain: it has stopped once it is closing and no session is left", "[pooler][drain]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  trial.pooler->drain();
  trial.run(2000ms);
  CHECK_FALSE(trial.pooler->stopped());
  trial.run(400ms);
  CHECK_FALSE(trial.pooler->stopped());
  alice->leave();
  CHECK(trial.pooler->stopped());
}

TEST_CASE("pooler drain: without clients it still takes drainServingTime", "[pooler][drain]") {
  PoolerTrial trial;
  trial.pooler->drain();
  trial.run(2100ms);
  CHECK_FALSE(trial.pooler->stopped());
  trial.run(200ms);
  CHECK(trial.pooler->stopped());
}

TEST_CASE("pooler drain: it has stopped before its stop time is over even with open sessions", "[pooler][drain]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  trial.pooler->drain();
  trial.run(5200ms);
  CHECK_FALSE(trial.pooler->stopped());
  trial.run(200ms);
  CHECK(trial.pooler->stopped());
}

TEST_CASE("pooler drain: a second call of drain changes nothing", "[pooler][drain]") {
  PoolerTrial trial;
  trial.pooler->drain();
  trial.run(1500ms);
  trial.pooler->drain();
  trial.run(800ms);
  CHECK(trial.pooler->closing());
}

TEST_CASE("pooler drain: readiness needs a lease and a share", "[pooler][drain]") {
  PoolerTrial::Options options;
  options.published = false;
  PoolerTrial trial(options);
  CHECK(trial.pooler->notReadyReason());
  trial.addRoute("strict", Consistency::primary);
  trial.publishFleet();
  trial.publishService();
  trial.run(20ms);
  CHECK(trial.pooler->notReadyReason());
  trial.publishShare(2);
  trial.run(20ms);
  CHECK_FALSE(trial.pooler->notReadyReason());
  trial.endLease();
  CHECK(trial.pooler->notReadyReason());
  trial.renewLease();
  CHECK_FALSE(trial.pooler->notReadyReason());
  trial.updates.endLease(fleetTopic);
  CHECK(trial.pooler->notReadyReason());
}

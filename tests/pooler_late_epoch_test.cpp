#include <catch2/catch.hpp>

#include "tests/pooler_trial.hpp"

using namespace tamarindshift;

namespace {

/// Longer than the scripted lease of these tests.
constexpr Duration longCut = 600ms;
constexpr Duration shortLease = 300ms;

struct LateEpochTrial : PoolerTrial {
  LateEpochTrial() { updates.leaseDuration = shortLease; }
  /// The control plane has changed the primary in an orderly way meanwhile; the node learns of it with its first new lease. The
  /// former primary carries on, since nobody has reached it to demote it.
  void learnOfPlannedChange(bool promoted) {
    backEnds.at("d2").primary = promoted;
    publishPrimary(2, "d2", promoted, true);
    renewLease();
  }
};

}  // namespace

// Guards against commits at the old primary that the new one does not have, acknowledged by a node that was cut off meanwhile.
TEST_CASE("pooler late epoch: a transaction gets nothing more from the old primary once the old lease has ended", "[pooler][epochs]") {
  LateEpochTrial trial;
  auto alice = trial.client("alice");
  alice->ask("BEGIN");
  CHECK(alice->ask("WRITE a 1") == "OK");
  trial.stopRenewing();
  trial.run(longCut);
  bool promoted = GENERATE(false, true);
  trial.learnOfPlannedChange(promoted);
  trial.run(5ms);
  auto text = GENERATE(as<std::string>{}, "COMMIT", "WRITE a 2", "READ a");
  CHECK(alice->ask(text) == "ABORTED");
  CHECK(trial.runsOf(text).empty());
  CHECK(trial.backEnds.at("d1").committed.empty());
}

// Guards against an acknowledgement for a commit that ran at the old primary after the old lease had ended.
TEST_CASE("pooler late epoch: work that was under way when the old lease ended is not acknowledged", "[pooler][epochs]") {
  LateEpochTrial trial;
  auto alice = trial.client("alice");
  bool inTransaction = GENERATE(false, true);
  if (inTransaction) {
    alice->ask("BEGIN");
    CHECK(alice->ask("WRITE a 1") == "OK");
  }
  trial.backEnds.at("d1").runTime = 900ms;
  trial.stopRenewing();
  auto asked = alice->start(inTransaction ? "COMMIT" : "WRITE a 1");
  trial.run(longCut);
  trial.learnOfPlannedChange(true);
  CHECK(alice->finish(asked) == "UNRESOLVED");
}

// Guards against a grace period that outlasts what the control plane waits for: the lease that came with the old epoch.
TEST_CASE("pooler late epoch: work may finish at the old primary until the lease that came with its epoch ends", "[pooler][epochs]") {
  LateEpochTrial trial;
  auto alice = trial.client("alice");
  auto bob = trial.client("bob");
  for (auto* client : {alice.get(), bob.get()}) {
    client->ask("BEGIN");
    CHECK(client->ask("WRITE a 1") == "OK");
  }
  trial.stopRenewing();
  trial.run(200ms);
  trial.learnOfPlannedChange(false);
  trial.run(50ms);
  CHECK(alice->ask("COMMIT") == "OK");
  trial.run(100ms);
  CHECK(bob->ask("COMMIT") == "ABORTED");
  CHECK(trial.backEnds.at("d1").committed.size() == 1);
}

// Guards against stale reads, and writes at the old primary, in the moment between the arrival of updates and their being read.
TEST_CASE("pooler late epoch: a lease that came with unread updates does not cover work by the old ones", "[pooler][epochs]") {
  LateEpochTrial trial;
  auto alice = trial.client("alice");
  CHECK(alice->ask("WRITE a 1") == "OK");
  trial.stopRenewing();
  trial.run(longCut);
  trial.learnOfPlannedChange(true);
  auto text = GENERATE(as<std::string>{}, "READ a", "WRITE a 2");
  CHECK(alice->ask(text) == "OK");
  REQUIRE(trial.runsOf(text).size() == 1);
  CHECK(trial.runsOf(text).front().database == "d2");
}

// The same for a transaction that rested at the old primary.
TEST_CASE("pooler late epoch: a transaction does not go on under a lease that came with unread updates", "[pooler][epochs]") {
  LateEpochTrial trial;
  auto alice = trial.client("alice");
  alice->ask("BEGIN");
  CHECK(alice->ask("WRITE a 1") == "OK");
  trial.stopRenewing();
  trial.run(longCut);
  trial.learnOfPlannedChange(true);
  CHECK(alice->ask("COMMIT") == "ABORTED");
  CHECK(trial.runsOf("COMMIT").empty());
  CHECK(trial.backEnds.at("d1").committed.empty());
}

#include <catch2/catch.hpp>

#include "pooler/sending_check.hpp"
#include "tests/journal_fixture.hpp"
#include "tests/pooler_trial.hpp"

using namespace tamarindshift;

namespace {

struct Trial : JournalFixture {
  SendingFacts sound() const {
    SendingFacts facts;
    facts.makesDurable = true;
    facts.asPrimary = true;
    return facts;
  }
  /// Checks a send and clears the violations, which would otherwise fail the test case.
  std::size_t violations(const SendingFacts& facts) {
    checkSending(journal, facts, 7s);
    return JournalFixture::violations();
  }
};

}  // namespace

TEST_CASE("invariants: a correct send violates none and counts the checks") {
  Trial trial;
  CHECK(trial.violations(trial.sound()) == 0);
  CHECK(trial.journal.invariant(Invariant::workUnderLease).checked == 1);
  CHECK(trial.journal.invariant(Invariant::writeSentOnce).checked == 1);
  CHECK(trial.journal.violations() == 0);
}

TEST_CASE("invariants: a violation of each rule of sending is detected") {
  Trial trial;
  auto broken = trial.sound();
  auto expected = Invariant::workUnderLease;
  SECTION("without a lease") {
    broken.leased = false;
  }
  SECTION("at a primary of another epoch") {
    broken.inEpoch = false;
    expected = Invariant::workInEpoch;
  }
  SECTION("a write that may have run") {
    broken.mayHaveRunBefore = true;
    expected = Invariant::writeSentOnce;
  }
  SECTION("on another session's connection") {
    broken.heldBySession = false;
    expected = Invariant::connectionHeldOnce;
  }
  SECTION("new work long after a drain") {
    broken.drainedFor = 7100ms;
    expected = Invariant::drainedLeftAlone;
  }
  CHECK(trial.violations(broken) == 1);
  CHECK(trial.journal.invariant(expected).violated == 1);
  REQUIRE(trial.lines.size() == 1);
  CHECK(trial.lines.front().find(invariantName(expected)) != std::string::npos);
}

TEST_CASE("invariants: what is allowed is not reported as a violation") {
  Trial trial;
  auto allowed = trial.sound();
  SECTION("a read after a read that may have run") {
    allowed.makesDurable = false;
    allowed.mayHaveRunBefore = true;
  }
  SECTION("a replica needs no epoch") {
    allowed.asPrimary = false;
    allowed.inEpoch = false;
  }
  SECTION("the rest of a transaction at a drained database") {
    allowed.begins = false;
    allowed.drainedFor = 20s;
  }
  SECTION("session state set on a connection without a lease") {
    allowed.clientWork = false;
    allowed.leased = false;
  }
  CHECK(trial.violations(allowed) == 0);
}

TEST_CASE("invariants: lines of one violation are bounded and its count is not") {
  Trial trial;
  auto broken = trial.sound();
  broken.leased = false;
  for (int index = 0; index < 100; ++index) trial.violations(broken);
  CHECK(trial.lines.size() == 20);
  CHECK(trial.journal.invariant(Invariant::workUnderLease).violated == 100);
}

TEST_CASE("invariants: news that go back to an older configuration are noticed") {
  PoolerTrial trial;
  trial.publishFleet();
  trial.run(200ms);
  REQUIRE(SimulatedJournal::takeViolations().empty());
  PublishedFleetPlan older;
  older.mark = PlanVersion{1};
  for (const auto& [name, kind] : trial.kinds) older.kinds[name] = kind.service;
  trial.updates.putPlan(fleetTopic, older);
  trial.run(200ms);
  CHECK(SimulatedJournal::takeViolations().size() == 1);
  CHECK(trial.journal.invariant(Invariant::planNeverGoesBack).violated == 1);
}

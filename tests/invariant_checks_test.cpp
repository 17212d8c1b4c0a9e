// Each invariant check, other than those on sending, must accept correct events and report a violation of its rule.

#include <catch2/catch.hpp>

#include "control/duty_epoch_check.hpp"
#include "control/plan_version_check.hpp"
#include "control/share_check.hpp"
#include "pooler/reply_check.hpp"
#include "tests/journal_fixture.hpp"

using namespace tamarindshift;

namespace {

const Instant noon{Duration{12h}};

std::string context() {
  return "'7' of r1";
}

}  // namespace

TEST_CASE("invariants: a write that is acknowledged without a lease or in another epoch is reported") {
  JournalFixture trial;
  AcknowledgementFacts facts;
  facts.makesDurable = true;
  checkAcknowledgement(trial.journal, facts);
  CHECK(trial.violations() == 0);
  SECTION("without a lease") {
    facts.leased = false;
  }
  SECTION("in another epoch") {
    facts.inEpoch = false;
  }
  checkAcknowledgement(trial.journal, facts);
  CHECK(trial.violations() == 1);
  CHECK(trial.violated(Invariant::acknowledgedUnderLease) == 1);
  facts.makesDurable = false;
  checkAcknowledgement(trial.journal, facts);
  CHECK(trial.violations() == 0);
  CHECK(trial.checked(Invariant::acknowledgedUnderLease) == 3);
}

TEST_CASE("invariants: a statement that is held past its bound is reported") {
  JournalFixture trial;
  checkAnsweredInTime(trial.journal, StatementTimes{noon, noon + 1200ms, noon + 800ms}, context);
  CHECK(trial.violations() == 0);
  checkAnsweredInTime(trial.journal, StatementTimes{noon, noon + 9s, Instant::max()}, context);
  checkAnsweredInTime(trial.journal, StatementTimes{noon, noon + 9s, noon + 800ms, true}, context);
  CHECK(trial.violations() == 0);
  checkAnsweredInTime(trial.journal, StatementTimes{noon, noon + 1301ms, noon + 800ms}, context);
  CHECK(trial.violations() == 1);
  REQUIRE(trial.lines.size() == 1);
  CHECK(trial.lines.front().find("'7' of r1 was answered after 1301 ms") != std::string::npos);
}

TEST_CASE("invariants: granted and reserved shares that together exceed the connections of a branch are reported") {
  JournalFixture trial;
  const BranchName work{"work"};
  const ServiceName name{"s1"};
  PlanService planned;
  planned.branches[work].connections = 10;
  ServiceState service;
  service.grants[Address{"10.1.0.1:1"}][work] = 4;
  service.grants[Address{"10.1.0.2:1"}][work] = 3;
  service.reserved[Address{"10.1.0.3:1"}].connections[work] = 3;
  service.grants[Address{"10.1.0.2:1"}][BranchName{"removed"}] = 30;
  checkSharesWithinBranches(trial.journal, name, planned, service);
  CHECK(trial.violations() == 0);
  CHECK(trial.checked(Invariant::sharesWithinBranch) == 1);
  SECTION("granted") {
    service.grants[Address{"10.1.0.2:1"}][work] = 4;
  }
  SECTION("reserved") {
    service.reserved[Address{"10.1.0.3:1"}].connections[work] = 4;
  }
  SECTION("a smaller cap") {
    planned.branches[work].connections = 9;
  }
  checkSharesWithinBranches(trial.journal, name, planned, service);
  CHECK(trial.violations() == 1);
  CHECK(trial.violated(Invariant::sharesWithinBranch) == 1);
}

TEST_CASE("invariants: a fencing token that falls, or a call by a node that is not on duty, is reported") {
  JournalFixture trial;
  DutyEpochCheck tokens(trial.journal);
  tokens.observe(3, true);
  tokens.observe(3, true);
  tokens.observe(5, true);
  CHECK(trial.violations() == 0);
  tokens.observe(4, true);
  CHECK(trial.violations() == 1);
  tokens.observe(5, false);
  CHECK(trial.violations() == 1);
  tokens.observe(5, true);
  CHECK(trial.violations() == 0);
  CHECK(trial.violated(Invariant::dutyEpochNeverFalls) == 2);
}

TEST_CASE("invariants: a plan version that goes back is reported once for each time") {
  JournalFixture trial;
  PlanVersionCheck versions(trial.journal);
  CHECK_FALSE(versions.observe(PlanVersion{4}));
  CHECK(versions.observe(PlanVersion{4}));
  CHECK_FALSE(versions.observe(PlanVersion{9}));
  CHECK(trial.violations() == 0);
  versions.observe(PlanVersion{8});
  CHECK(trial.violations() == 1);
  versions.observe(PlanVersion{8});
  CHECK(trial.violations() == 0);
}

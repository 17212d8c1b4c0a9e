// Each invariant that is not about sending is seen to hold for what is sound and to notice its rule broken.

#include <catch2/catch.hpp>

#include "control/duty_epoch_check.hpp"
#include "control/plan_version_check.hpp"
#include "control/share_check.hpp"
#include "pooler/reply_check.hpp"
#include "tests/check_trial.hpp"

using namespace tamarindshift;

namespace {

const Instant noon{Duration{12h}};

std::string somewhere() {
  return "'7' of r1";
}

}  // namespace

TEST_CASE("invariants: a kept write acknowledged without a lease or in another epoch is noticed") {
  CheckTrial trial;
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

TEST_CASE("invariants: a statement that is held past its bound is noticed") {
  CheckTrial trial;
  checkAnsweredInTime(trial.journal, StatementTimes{noon, noon + 1200ms, noon + 800ms}, somewhere);
  CHECK(trial.violations() == 0);
  checkAnsweredInTime(trial.journal, StatementTimes{noon, noon + 9s, Instant::max()}, somewhere);
  checkAnsweredInTime(trial.journal, StatementTimes{noon, noon + 9s, noon + 800ms, true}, somewhere);
  CHECK(trial.violations() == 0);
  checkAnsweredInTime(trial.journal, StatementTimes{noon, noon + 1301ms, noon + 800ms}, somewhere);
  CHECK(trial.violations() == 1);
  REQUIRE(trial.lines.size() == 1);
  CHECK(trial.lines.front().find("'7' of r1 was answered after 1301 ms") != std::string::npos);
}

TEST_CASE("invariants: shares that sum past the cap of a branch are noticed, granted and reserved ones together") {
  CheckTrial trial;
  const BranchName work{"work"};
  const ServiceName name{"s1"};
  PlanService planned;
  planned.branches[work].connections = 10;
  ServiceState service;
  service.grants[Address{"10.1.0.1:1"}][work] = 4;
  service.grants[Address{"10.1.0.2:1"}][work] = 3;
  service.reserved[Address{"10.1.0.3:1"}].most[work] = 3;
  service.grants[Address{"10.1.0.2:1"}][BranchName{"removed"}] = 30;
  checkSharesWithinBranches(trial.journal, name, planned, service);
  CHECK(trial.violations() == 0);
  CHECK(trial.checked(Invariant::sharesWithinBranch) == 1);
  SECTION("granted") {
    service.grants[Address{"10.1.0.2:1"}][work] = 4;
  }
  SECTION("reserved") {
    service.reserved[Address{"10.1.0.3:1"}].most[work] = 4;
  }
  SECTION("a smaller cap") {
    planned.branches[work].connections = 9;
  }
  checkSharesWithinBranches(trial.journal, name, planned, service);
  CHECK(trial.violations() == 1);
  CHECK(trial.violated(Invariant::sharesWithinBranch) == 1);
}

TEST_CASE("invariants: a fence that falls, or a call by a node without duties, is noticed") {
  CheckTrial trial;
  DutyEpochCheck fences(trial.journal);
  fences.note(3, true);
  fences.note(3, true);
  fences.note(5, true);
  CHECK(trial.violations() == 0);
  fences.note(4, true);
  CHECK(trial.violations() == 1);
  fences.note(5, false);
  CHECK(trial.violations() == 1);
  fences.note(5, true);
  CHECK(trial.violations() == 0);
  CHECK(trial.violated(Invariant::dutyEpochNeverFalls) == 2);
}

TEST_CASE("invariants: a version that goes back is noticed once for each time") {
  CheckTrial trial;
  PlanVersionCheck versions(trial.journal);
  CHECK_FALSE(versions.note(PlanMark{4}));
  CHECK(versions.note(PlanMark{4}));
  CHECK_FALSE(versions.note(PlanMark{9}));
  CHECK(trial.violations() == 0);
  versions.note(PlanMark{8});
  CHECK(trial.violations() == 1);
  versions.note(PlanMark{8});
  CHECK(trial.violations() == 0);
}

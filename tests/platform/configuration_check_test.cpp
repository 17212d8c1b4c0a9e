// The invariants of acknowledging and reading configurations are seen to notice their rule broken.

#include <catch2/catch.hpp>

#include "platform/configuration_check.hpp"
#include "tests/journal_fixture.hpp"

using namespace tamarindshift;
using namespace tamarindshift::platform;

TEST_CASE("invariants: an acknowledged version that is not green here is noticed") {
  JournalFixture trial;
  checkAcknowledgedVersion(trial.journal, PlanVersion{4}, PlanVersion{4});
  checkAcknowledgedVersion(trial.journal, PlanVersion{4}, PlanVersion{7});
  CHECK(trial.violations() == 0);
  checkAcknowledgedVersion(trial.journal, PlanVersion{4}, PlanVersion{3});
  CHECK(trial.violations() == 1);
  checkAcknowledgedVersion(trial.journal, PlanVersion{4}, std::nullopt);
  CHECK(trial.violations() == 1);
}

TEST_CASE("invariants: a read without a fresh proof, or older than what was acknowledged, is noticed") {
  JournalFixture trial;
  ReadFacts facts;
  facts.version = PlanVersion{7};
  facts.acknowledged = PlanVersion{7};
  checkRead(trial.journal, facts);
  CHECK(trial.violations() == 0);
  SECTION("outside of the primary component") {
    facts.inPrimary = false;
  }
  SECTION("a proof from before the question") {
    facts.provedSinceAsked = false;
  }
  SECTION("an older version") {
    facts.version = PlanVersion{6};
  }
  checkRead(trial.journal, facts);
  CHECK(trial.violations() == 1);
  CHECK(trial.violated(Invariant::readUnderProof) == 1);
}

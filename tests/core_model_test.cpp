// Exhaustive search of the core's decisions, and of what happens when one of its rules is taken out.

#include <catch2/catch.hpp>

#include <vector>

#include "tests/core_model.hpp"

using namespace tamarindshift::testing;

namespace {

std::string told(const CoreModel::Result& result) {
  std::string text = std::to_string(result.states) + " states";
  if (result.violation)
    for (const auto& step : *result.violation) text += "\n  " + step;
  return text;
}

/// A lost disk and a newcomer at another address, the same at its address, and three changes of view with a crash.
std::vector<CoreModel::Budget> budgets() {
  return {{2, 1, 1, false}, {2, 1, 1, true}, {3, 1, 0, false}};
}

/// One of the searches finds a way to break a promise once the rule is taken out.
void requireNoticed(const CoreModel::Rules& rules) {
  for (const auto& budget : budgets()) {
    auto result = CoreModel::explore(rules, budget);
    if (!result.violation) continue;
    WARN("noticed after " << told(result));
    return;
  }
  FAIL("no search noticed that the rule is taken out");
}

}  // namespace

TEST_CASE("in every state of the model that can be reached the core keeps its promises") {
  std::size_t states = 0;
  for (const auto& budget : budgets()) {
    auto result = CoreModel::explore({}, budget);
    WARN(budget.views << " views, " << budget.crashes << " crash, " << budget.disksLost << " disk lost"
                      << (budget.sameAddress ? ", newcomer at its address: " : ": ") << told(result));
    CHECK_FALSE(result.violation);
    states += result.states;
  }
  CHECK(states > 5'000'000);
}

TEST_CASE("the model notices a core without the majority of the group") {
  CoreModel::Rules rules;
  rules.majorityOfGroup = false;
  requireNoticed(rules);
}

TEST_CASE("the model notices a core without the majority of the last primary component and of the group") {
  CoreModel::Rules rules;
  rules.majorityOfGroup = rules.majorityOfLastPrimary = false;
  requireNoticed(rules);
}

TEST_CASE("the model notices a core in which vulnerable members do not block") {
  CoreModel::Rules rules;
  rules.vulnerableBlocks = false;
  requireNoticed(rules);
}

TEST_CASE("the model notices receipts that are acknowledged before they are synced") {
  CoreModel::Rules rules;
  rules.syncBeforeReceipt = false;
  requireNoticed(rules);
}

TEST_CASE("the model notices a member that serves without a proof") {
  CoreModel::Rules rules;
  rules.proofBeforeServing = false;
  requireNoticed(rules);
}

TEST_CASE("the model notices a leave that the group cannot spare") {
  CoreModel::Rules rules;
  rules.spareBeforeLeave = false;
  requireNoticed(rules);
}

TEST_CASE("the model notices versions without a digest") {
  CoreModel::Rules rules;
  rules.digestOfVersion = false;
  requireNoticed(rules);
}

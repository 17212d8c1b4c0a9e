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

TEST_CASE("the model notices each rule that is taken out") {
  using Rules = CoreModel::Rules;
  struct TakenOut {
    std::string what;
    std::vector<bool Rules::*> rules;
  };
  const std::vector<TakenOut> cases{
      {"the majority of the group", {&Rules::majorityOfGroup}},
      {"the majorities of the last primary component and of the group", {&Rules::majorityOfGroup, &Rules::majorityOfLastPrimary}},
      {"vulnerable members that block", {&Rules::vulnerableBlocks}},
      {"receipts that are synced before they are acknowledged", {&Rules::syncBeforeReceipt}},
      {"a proof before serving", {&Rules::proofBeforeServing}},
      {"a leave only where the group can spare it", {&Rules::spareBeforeLeave}},
      {"the digest of a version", {&Rules::digestOfVersion}},
  };
  for (const auto& takenOut : cases) DYNAMIC_SECTION(takenOut.what) {
      Rules rules;
      for (auto rule : takenOut.rules) rules.*rule = false;
      requireNoticed(rules);
    }
}

// Exhaustive search of the model of the core: no reachable state may violate an invariant, and with one of the rules disabled the
// search must find a violation, which shows that it can.

#include <catch2/catch.hpp>

#include <vector>

#include "tests/core_model.hpp"

using namespace tamarindshift::testing;

namespace {

std::string describe(const CoreModel::Result& result) {
  std::string text = std::to_string(result.states) + " states";
  if (result.violation)
    for (const auto& step : *result.violation) text += "\n  " + step;
  return text;
}

/// A lost disk with a newcomer at another address, the same with the newcomer at the lost member's address, and three changes of
/// view with a crash.
std::vector<CoreModel::Budget> budgets() {
  return {{2, 1, 1, false}, {2, 1, 1, true}, {3, 1, 0, false}};
}

/// One of the searches must find a violation with these rules.
void requireDetected(const CoreModel::Rules& rules) {
  for (const auto& budget : budgets()) {
    auto result = CoreModel::explore(rules, budget);
    if (!result.violation) continue;
    WARN("detected after " << describe(result));
    return;
  }
  FAIL("no search detected that the rule is disabled");
}

}  // namespace

TEST_CASE("the core keeps its guarantees in every reachable state of the model") {
  std::size_t states = 0;
  for (const auto& budget : budgets()) {
    auto result = CoreModel::explore({}, budget);
    WARN(budget.views << " views, " << budget.crashes << " crash, " << budget.disksLost << " disk lost"
                      << (budget.sameAddress ? ", newcomer at the lost member's address: " : ": ") << describe(result));
    CHECK_FALSE(result.violation);
    states += result.states;
  }
  CHECK(states > 5'000'000);
}

TEST_CASE("the search detects each rule that is disabled") {
  using Rules = CoreModel::Rules;
  struct DisabledRules {
    std::string description;
    std::vector<bool Rules::*> rules;
  };
  const std::vector<DisabledRules> cases{
      {"the majority of the group", {&Rules::majorityOfGroup}},
      {"the majorities of the last primary component and of the group", {&Rules::majorityOfGroup, &Rules::majorityOfLastPrimary}},
      {"vulnerable members block a quorum", {&Rules::vulnerableBlocks}},
      {"received messages are synced before they are acknowledged", {&Rules::syncBeforeAcknowledgement}},
      {"confirmation before serving", {&Rules::confirmationBeforeServing}},
      {"a member leaves only where the group can spare it", {&Rules::spareBeforeLeave}},
      {"a digest of the content of a version", {&Rules::digestOfVersion}},
  };
  for (const auto& disabled : cases) DYNAMIC_SECTION(disabled.description) {
      Rules rules;
      for (auto rule : disabled.rules) rules.*rule = false;
      requireDetected(rules);
    }
}

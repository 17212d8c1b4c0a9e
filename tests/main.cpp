#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include <iostream>

#include "simulated/simulated_journal.hpp"

namespace {

std::size_t casesWithViolations = 0;

/// Invariants are checked in every test: a case during which a program violated one fails, even if all of its own assertions hold.
struct InvariantListener : Catch::TestEventListenerBase {
  using TestEventListenerBase::TestEventListenerBase;
  void testCaseEnded(const Catch::TestCaseStats& stats) override {
    auto violations = tamarindshift::SimulatedJournal::takeViolations();
    if (violations.empty()) return;
    ++casesWithViolations;
    std::cout << "case '" << stats.testInfo.name << "' failed:\n";
    for (const auto& violation : violations) std::cout << "  " << violation << "\n";
  }
};

CATCH_REGISTER_LISTENER(InvariantListener)

}  // namespace

int main(int argumentCount, char** arguments) {
  int failed = Catch::Session().run(argumentCount, arguments);
  if (casesWithViolations > 0) std::cout << casesWithViolations << " cases with violated invariants\n";
  return failed != 0 ? failed : casesWithViolations > 0 ? 1 : 0;
}

#include <catch2/catch.hpp>

#include "tests/pooler_trial.hpp"

using namespace tamarindshift;

TEST_CASE("pooler routes: while a service's news are not there yet no host is refused for good", "[pooler][fault]") {
  PoolerTrial::Choice choice;
  choice.published = false;
  PoolerTrial trial(choice);
  trial.route("strict", Consistency::primary);
  trial.publishFleet();
  trial.run(200ms);
  CHECK(trial.client("alice")->refusal.fault == StatementFault::busy);
  trial.publishService();
  trial.run(20ms);
  CHECK(trial.client("bob")->session);
}

#include <catch2/catch.hpp>

#include "tests/pooler_trial.hpp"

using namespace tamarindshift;

TEST_CASE("pooler routes: a node that knows the fleet plan but not every service refuses with CONGESTED", "[pooler][routes]") {
  PoolerTrial::Options options;
  options.published = false;
  PoolerTrial trial(options);
  trial.addRoute("strict", Consistency::primary);
  trial.kinds[KindName{"other"}] = trial.kinds.at(KindName{"strict"});
  trial.kinds[KindName{"other"}].service = ServiceName{"s2"};
  trial.kinds[KindName{"other"}].host = "other";
  trial.publishFleet();
  trial.run(150ms);
  CHECK(trial.client("alice")->refusal.fault == StatementFault::busy);
  CHECK(trial.client("bob", "other")->refusal.fault == StatementFault::busy);
  CHECK(trial.client("carol", "nowhere")->refusal.fault == StatementFault::busy);
  CHECK(trial.pooler->notReadyReason());
  trial.publishService("s1");
  trial.run(150ms);
  CHECK(trial.client("bob2", "other")->refusal.fault == StatementFault::busy);
  CHECK(trial.client("carol2", "nowhere")->refusal.fault == StatementFault::busy);
  trial.publishService("s2");
  trial.run(150ms);
  CHECK(trial.client("alice3")->session);
  CHECK(trial.client("bob3", "other")->session);
  CHECK(trial.client("carol3", "nowhere")->refusal.fault == StatementFault::noDatabase);
}

TEST_CASE("pooler routes: before a service's update has arrived no host is refused as unknown", "[pooler][mended]") {
  PoolerTrial::Options options;
  options.published = false;
  PoolerTrial trial(options);
  trial.addRoute("strict", Consistency::primary);
  trial.publishFleet();
  trial.run(200ms);
  CHECK(trial.client("alice")->refusal.fault == StatementFault::busy);
  trial.publishService();
  trial.run(20ms);
  CHECK(trial.client("bob")->session);
}

TEST_CASE("pooler routes: under a plan without any service the node is ready and knows no host", "[pooler][routes][mended]") {
  PoolerTrial::Options options;
  options.published = false;
  PoolerTrial trial(options);
  trial.run(200ms);
  CHECK(trial.pooler->notReadyReason());
  trial.publishFleet();
  trial.run(200ms);
  CHECK(trial.pooler->notReadyReason().value_or("") == "");
  auto alice = trial.client("alice", "anyhost");
  CHECK_FALSE(alice->session);
  CHECK(alice->refusal.fault == StatementFault::noDatabase);
  trial.run(10s);
  CHECK_FALSE(trial.pooler->cutOff());
  CHECK_FALSE(trial.pooler->notReadyReason());
}

#include <catch2/catch.hpp>

#include "tests/fleet_trial.hpp"

using namespace tamarindshift;

namespace {

struct Answered {
  Instant sentAt{};
  RequestReply reply;
};

DatabaseRequest request(Operation operation, std::string text = {}) {
  DatabaseRequest made;
  made.operation = operation;
  made.text = std::move(text);
  return made;
}

/// A transaction that sends its next statement with the reply to the last one, until one is refused.
Task<void> workWithoutPauses(SimulatedFleet& fleet, ProxyNode& proxy, std::vector<Answered>& answers) {
  KindName kind{"counter1"};
  auto session = proxy.openSession(kind, {}, ConnectionId{1});
  auto next = request(Operation::begin);
  do {
    auto sentAt = fleet.world().now();
    auto reply = co_await proxy.run(session, kind, next);
    answers.push_back(Answered{sentAt, std::move(reply)});
    next = request(Operation::statement, "put a 1");
  } while (answers.back().reply.outcome == RequestOutcome::done);
}

}  // namespace

// Guards against statements that reach a database so late that the process stops before their replies.
TEST_CASE("proxy drain: a transaction without pauses is ended after half of the stop time") {
  FleetTrial trial(FleetTrial::machines(1));
  trial.sendFirstPlan(5s);
  for (auto& database : trial.fleet.databases()) database->node->slow(130ms);
  auto& proxy = *trial.fleet.machines()[0]->proxy;
  std::vector<Answered> answers;
  TaskScope scope;
  scope.spawn(workWithoutPauses(trial.fleet, proxy, answers));
  trial.fleet.run(1s);
  REQUIRE(answers.size() > 3);
  auto since = trial.fleet.world().now();
  proxy.drain();
  trial.fleet.run(5s);
  REQUIRE(answers.back().reply.outcome != RequestOutcome::done);
  CHECK(answers.back().reply.status == 410);
  CHECK(answers.back().sentAt - since > 2900ms);
  CHECK(answers.back().sentAt - since < 3200ms);
}

#include <catch2/catch.hpp>

#include "platform/front_door.hpp"
#include "tests/pooler_trial.hpp"
#include "tests/scripted_line.hpp"

using namespace tamarindshift;

namespace {

struct LimitsTrial : PoolerTrial {
  LimitsTrial() { limits(); }
  void limits() {
    PublishedFleetPlan plan;
    plan.mark = PlanVersion{100};
    for (const auto& [name, kind] : kinds) plan.kinds[name] = kind.service;
    plan.limits = {{"idle-transaction-ms", 3000}, {"idle-session-ms", 5000}, {"message-bytes", 200}};
    updates.putPlan(fleetTopic, plan);
    run(200ms);
  }
  std::shared_ptr<ScriptedLine> session() {
    auto line = std::make_shared<ScriptedLine>(clock);
    scope.spawn(door.serve(line));
    say(*line, "SETUP strict u1\r\n");
    return line;
  }
  std::string say(ScriptedLine& line, const std::string& bytes) {
    line.arrive(bytes);
    run(50ms);
    return line.takeWritten();
  }
  platform::FrontDoor door{clock, *pooler};
  TaskScope scope;
};

/// A line whose reading throws once its session is set up.
struct ThrowingLine : ScriptedLine {
  using ScriptedLine::ScriptedLine;
  Task<std::optional<std::string>> readLine(std::optional<Instant> deadline) override {
    if (!std::exchange(first, false)) throw std::runtime_error("no memory\xff");
    co_return co_await ScriptedLine::readLine(deadline);
  }
  bool first = true;
};

}  // namespace

TEST_CASE("front: a session that rests longer than the configuration allows is closed quietly", "[front][limits]") {
  LimitsTrial trial;
  auto rests = trial.session();
  auto works = trial.session();
  CHECK(trial.say(*rests, "QUERY u.1 READ a\r\n").starts_with("ROW"));
  for (int second = 0; second < 7; ++second) {
    CHECK(trial.say(*works, "QUERY u.2 READ a\r\n").starts_with("ROW"));
    trial.run(900ms);
  }
  CHECK(rests->closed());
  CHECK(rests->takeWritten().empty());
  CHECK_FALSE(works->closed());
  CHECK(trial.pooler->sessions() == 1);
}

TEST_CASE("front: a session is not closed inside a transaction or while it asks", "[front][limits]") {
  LimitsTrial trial;
  trial.kinds.at(KindName{"strict"}).statementTimeout = 20s;
  trial.publishService();
  trial.run(50ms);
  auto inside = trial.session();
  CHECK(trial.say(*inside, "QUERY u.1 BEGIN\r\n") == "COMPLETE -\r\nIDLE T -\r\n");
  auto asks = trial.session();
  trial.backEnds.at("d1").runTime = 9s;
  CHECK(trial.say(*asks, "QUERY u.2 WRITE a 1\r\n").empty());
  trial.run(7s);
  CHECK_FALSE(inside->closed());
  CHECK_FALSE(asks->closed());
  trial.run(2500ms);
  CHECK(asks->takeWritten().starts_with("COMPLETE"));
  CHECK_FALSE(asks->closed());
}

TEST_CASE("front: a message longer than the configuration allows is refused and the session goes on", "[front][limits]") {
  LimitsTrial trial;
  auto line = trial.session();
  std::string large = "QUERY u.1 WRITE a " + std::string(300, 'x') + "\r\n";
  CHECK(trial.say(*line, large) == "ERROR MALFORMED longer than the configuration allows\r\nIDLE I -\r\n");
  CHECK(trial.runsOf(large.substr(10, large.size() - 12)).empty());
  CHECK(trial.say(*line, "QUERY u.2 BEGIN\r\n") == "COMPLETE -\r\nIDLE T -\r\n");
  CHECK(trial.say(*line, large) == "ERROR MALFORMED longer than the configuration allows\r\nIDLE T -\r\n");
  CHECK(trial.say(*line, "QUERY u.3 READ a\r\n").starts_with("ROW"));
  CHECK_FALSE(line->closed());
}

TEST_CASE("front: an exception in one session ends that session, is counted and told, and the others go on", "[front]") {
  LimitsTrial trial;
  auto before = trial.session();
  auto line = std::make_shared<ThrowingLine>(trial.clock);
  trial.scope.spawn(trial.door.serve(line));
  trial.say(*line, "SETUP strict u1\r\n");
  trial.run(100ms);
  CHECK(line->closed());
  CHECK(trial.counterValue("sessions.threw") == 1);
  // finished sessions are looked at once there are many
  for (int number = 0; number < 40; ++number) {
    auto next = trial.session();
    CHECK_FALSE(next->closed());
    next->closeByPeer();
    trial.run(10ms);
  }
  CHECK(trial.say(*before, "QUERY q1 READ a\r\n").find("COMPLETE") != std::string::npos);
}

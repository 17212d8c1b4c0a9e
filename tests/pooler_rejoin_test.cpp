#include <algorithm>

#include <catch2/catch.hpp>

#include "tests/pooler_trial.hpp"

using namespace tamarindshift;

namespace {

std::uint32_t connections(const PoolerTrial& trial) {
  std::uint32_t sum = 0;
  for (const auto& [name, database] : trial.backEnds.databases()) sum += database.connections;
  return sum;
}

std::uint32_t openings(const PoolerTrial& trial) {
  std::uint32_t sum = 0;
  for (const auto& [name, database] : trial.backEnds.databases()) sum += database.openings;
  return sum;
}

PoolerTrial::Options optionsWithShare(std::uint32_t most, std::uint64_t seed = 1) {
  PoolerTrial::Options options;
  options.share = most;
  options.seed = seed;
  return options;
}

}  // namespace

TEST_CASE("pooler rejoins: without a lease all connections are closed, busy ones too", "[pooler][rejoin]") {
  PoolerTrial trial;
  trial.kinds.at(KindName{"strict"}).statementTimeout = 10s;
  trial.publishService();
  trial.run(20ms);
  auto rests = trial.client("rests");
  CHECK(rests->ask("BEGIN") == "OK");
  CHECK(rests->ask("WRITE a 1") == "OK");
  auto ended = trial.client("ended");
  CHECK(ended->ask("READ a") == "OK");
  trial.backEnds.at("d1").runTime = 8s;
  auto works = trial.client("works");
  auto running = works->start("WRITE b 1");
  trial.run(50ms);
  CHECK(connections(trial) >= 2);
  trial.endLease();
  trial.run(trial.settings.timings.connectionsKept + 300ms);
  CHECK(connections(trial) == 0);
  REQUIRE(running->reply);
  CHECK(running->outcome() == "UNRESOLVED");
  trial.backEnds.at("d1").runTime = 5ms;
  trial.renewLease();
  CHECK(rests->ask("COMMIT") == "ABORTED");
  CHECK(rests->ask("READ a") == "OK");
  CHECK(ended->ask("WRITE c 1") == "OK");
}

TEST_CASE("pooler rejoins: a short lapse of the lease closes no connection", "[pooler][rejoin]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  CHECK(alice->ask("WRITE a 1") == "OK");
  auto before = openings(trial);
  trial.endLease();
  trial.run(1s);
  trial.renewLease();
  CHECK(alice->ask("WRITE a 2") == "OK");
  CHECK(openings(trial) == before);
}

TEST_CASE("pooler rejoins: without a lease no connection is opened, not even to probe a suspected database", "[pooler][rejoin]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  CHECK(alice->ask("WRITE a 1") == "OK");
  SECTION("a probe of a suspected database") {
    trial.backEnds.at("d1").opening = ScriptedOpening::refused;
    trial.backEnds.closeConnections("d1");
    CHECK(alice->ask("WRITE a 2") == "CONGESTED");
    trial.backEnds.at("d1").opening = ScriptedOpening::accepted;
    trial.endLease();
    trial.run(20ms);
    auto before = openings(trial);
    trial.run(5s);
    CHECK(openings(trial) == before);
  }
  SECTION("a replacement of a lost connection") {
    trial.backEnds.at("d1").runTime = 200ms;
    auto running = alice->start("WRITE a 2");
    trial.run(50ms);
    trial.endLease();
    auto before = openings(trial);
    trial.backEnds.closeConnections("d1");
    CHECK(alice->finish(running) == "UNRESOLVED");
    trial.run(5s);
    CHECK(openings(trial) == before);
  }
  CHECK(connections(trial) == 0);
}

TEST_CASE("pooler rejoins: a connection that opens after the share was reduced is closed at once", "[pooler][rejoin]") {
  PoolerTrial trial(optionsWithShare(4));
  trial.backEnds.at("d1").openTime = 60ms;
  auto alice = trial.client("alice");
  auto asked = alice->start("WRITE a 1");
  trial.run(10ms);
  CHECK(trial.backEnds.at("d1").openings == 1);
  trial.publishShare(0);
  for (int step = 0; step < 100; ++step) {
    trial.run(1ms);
    CHECK(trial.backEnds.at("d1").connections == 0);
  }
  CHECK(alice->finish(asked) == "CONGESTED");
  CHECK(trial.serviceReport().appliedPosition == trial.updates.mark("s1"));
}

TEST_CASE("pooler rejoins: after a lapse a session has its variables, prepared names and own writes", "[pooler][rejoin]") {
  PoolerTrial trial;
  auto alice = trial.client("alice", "house");
  CHECK(alice->ask("SET zone z9") == "OK");
  CHECK(alice->ask("PREPARE p READ q") == "OK");
  CHECK(alice->ask("WRITE a 1") == "OK");
  auto own = trial.backEnds.at("d1").logPosition;
  for (const char* replica : {"d2", "d3"}) trial.backEnds.at(replica).lag = 10s;
  CHECK(alice->ask("WRITE a 2") == "OK");
  own = trial.backEnds.at("d1").logPosition;
  trial.endLease();
  trial.run(trial.settings.timings.connectionsKept + 500ms);
  CHECK(connections(trial) == 0);
  trial.renewLease();
  CHECK(alice->ask("EXECUTE p a") == "OK");
  auto runs = trial.runsOf("EXECUTE p a");
  auto ran = std::find_if(runs.begin(), runs.end(), [](const auto& run) {
    return run.ran;
  });
  REQUIRE(ran != runs.end());
  CHECK(ran->logPosition >= own);
  CHECK(ran->values.at("zone") == "z9");
}

TEST_CASE("pooler rejoins: guarantees and session state survive changes of lease, share, primary and connections",
          "[pooler][rejoin][seeds]") {
  for (std::uint64_t seed = 500; seed < 520; ++seed) {
    PoolerTrial trial(optionsWithShare(3, seed));
    INFO("seed " << seed);
    auto& world = trial.world;
    std::vector<std::unique_ptr<TrialClient>> clients;
    std::vector<std::shared_ptr<SentStatement>> asked;
    std::vector<int> steps;
    static const char* const routes[] = {"strict", "bounded", "house"};
    for (int number = 0; number < 9; ++number) {
      clients.push_back(trial.client("c" + std::to_string(number), routes[number % 3]));
      asked.push_back(nullptr);
      steps.push_back(0);
    }
    for (auto& [name, kind] : trial.kinds) kind.statementTimeout = 600ms;
    trial.publishService();
    trial.backEnds.at("d1").rollbackRestoresState = trial.backEnds.at("d2").rollbackRestoresState = seed % 2 == 0;
    std::uint64_t epoch = 1;
    std::string primary = "d1";
    constexpr auto never = Instant::max();
    auto leaseEndedAt = never;
    auto promotesAt = never;
    std::string next;
    auto text = [&](std::size_t index) -> std::string {
      auto thing = std::to_string(world.below(5));
      auto& step = steps[index];
      bool inside = step > 0;
      if (inside && --step == 0) return world.chance(700) ? "COMMIT" : "ROLLBACK";
      switch (world.below(8)) {
        case 0:
          return "SET zone z" + thing;
        case 1:
          return "PREPARE r READ q" + thing;
        case 2:
          return "PREPARE w WRITE q" + thing;
        case 3:
          return "EXECUTE r " + thing;
        case 4:
          return "EXECUTE w " + thing + " x";
        case 5:
          if (inside) return "READ " + thing;
          step = 2 + static_cast<int>(world.below(4));
          return "BEGIN";
        case 6:
          return "WRITE " + thing + " y";
        default:
          return "READ " + thing;
      }
    };
    for (int turn = 0; turn < 6000; ++turn) {
      for (std::size_t index = 0; index < clients.size(); ++index) {
        if (asked[index] && !asked[index]->reply) continue;
        if (asked[index] && asked[index]->reply->state == TransactionState::idle) steps[index] = 0;
        if (asked[index] && asked[index]->reply->state == TransactionState::failed) {
          steps[index] = 0;
          asked[index] = clients[index]->start("ROLLBACK");
          continue;
        }
        if (world.chance(200)) asked[index] = clients[index]->start(text(index));
      }
      if (world.chance(2)) {
        if (leaseEndedAt != never) {
          trial.renewLease();
          leaseEndedAt = never;
        } else {
          trial.endLease();
          leaseEndedAt = world.now();
        }
      }
      if (world.chance(3)) trial.publishShare(static_cast<std::uint32_t>(world.below(5)));
      if (world.chance(4)) trial.backEnds.closeConnections("d" + std::to_string(1 + world.below(3)));
      if (world.chance(2))
        trial.backEnds.script(primary, StatementKind::commit,
                              world.chance(500) ? ScriptedOutcome::lostAfterRunning : ScriptedOutcome::busy);
      if (world.chance(2))
        trial.backEnds.script(primary, StatementKind::write,
                              world.chance(500) ? ScriptedOutcome::lostBeforeRunning : ScriptedOutcome::slow);
      if (world.chance(2))
        trial.backEnds.at("d" + std::to_string(1 + world.below(3))).openTime = std::chrono::milliseconds{1 + world.below(100)};
      if (promotesAt == never && world.chance(2)) {
        next = primary == "d1" ? "d2" : "d1";
        trial.publishPrimary(++epoch, next, false, world.chance(500));
        promotesAt = world.now() + std::chrono::milliseconds{600 + world.below(600)};
      }
      if (world.now() >= promotesAt && leaseEndedAt == never) {
        // as in a real promotion: the new primary has all acknowledged commits, and the nodes have reported the epoch
        trial.backEnds.at(next).logPosition = std::max(trial.backEnds.at(next).logPosition, trial.backEnds.at(primary).logPosition);
        trial.makePrimary(next);
        primary = next;
        trial.publishPrimary(epoch, primary, true);
        promotesAt = never;
      }
      trial.run(1ms);
      if (leaseEndedAt != never && world.now() - leaseEndedAt > trial.settings.timings.connectionsKept + 200ms)
        CHECK(connections(trial) == 0);
    }
    trial.renewLease();
    trial.publishShare(3);
    for (auto& each : asked)
      if (each)
        trial.runUntil(5s, [&] {
          return each->reply.has_value();
        });
    for (auto& each : asked)
      if (each) CHECK(each->reply);
  }
}

#include <algorithm>

#include <catch2/catch.hpp>

#include "tests/pooler_trial.hpp"

using namespace tamarindshift;

namespace {

struct OverloadTrial : PoolerTrial {
  explicit OverloadTrial(std::uint64_t seed) : PoolerTrial(options(seed)) { backEnds.at("d1").runTime = 20ms; }
  static Options options(std::uint64_t seed) {
    Options options;
    options.seed = seed;
    options.share = 12;
    return options;
  }
  std::size_t clients = 0;
  void runLoad(std::size_t count, Duration duration) {
    std::vector<std::unique_ptr<TrialClient>> loadClients;
    std::vector<std::shared_ptr<SentStatement>> asked(count);
    for (std::size_t number = 0; number < count; ++number) loadClients.push_back(client("c" + std::to_string(++clients)));
    auto until = world.now() + duration;
    while (world.now() < until) {
      for (std::size_t index = 0; index < count; ++index)
        if (!asked[index] || asked[index]->reply) asked[index] = loadClients[index]->start("WRITE a " + std::to_string(index));
      run(1ms);
    }
    REQUIRE(runUntil(1s, [&] {
      return std::all_of(asked.begin(), asked.end(), [](const auto& each) {
        return each->reply.has_value();
      });
    }));
  }
};

}  // namespace

TEST_CASE("pooler overload: when a database reports too many connections, the node closes half of its own", "[pooler][overload]") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    OverloadTrial trial(seed);
    auto& database = trial.backEnds.at("d1");
    trial.runLoad(8, 200ms);
    CHECK(database.connections == 8);
    database.opening = ScriptedOpening::overloaded;
    trial.runLoad(12, 60ms);
    trial.run(50ms);
    CHECK(database.connections == 4);
    CHECK(trial.violations.empty());
  }
}

TEST_CASE("pooler overload: the closed connections are reopened one by one", "[pooler][overload]") {
  OverloadTrial trial(1);
  auto& database = trial.backEnds.at("d1");
  trial.runLoad(8, 200ms);
  database.opening = ScriptedOpening::overloaded;
  trial.runLoad(12, 60ms);
  database.opening = ScriptedOpening::accepted;
  trial.runLoad(12, 500ms);
  CHECK(database.connections > 4);
  CHECK(database.connections < 8);
  trial.runLoad(12, 2s);
  CHECK(database.connections >= 9);
  CHECK(trial.violations.empty());
}

TEST_CASE("pooler overload: a node without any connection retries soon", "[pooler][overload]") {
  OverloadTrial trial(1);
  auto& database = trial.backEnds.at("d1");
  database.opening = ScriptedOpening::overloaded;
  trial.runLoad(2, 2s);
  CHECK(database.openings >= 8);
  CHECK(database.openings <= 24);
  database.opening = ScriptedOpening::accepted;
  auto alice = trial.client("alice");
  auto asked = alice->start("WRITE a 1");
  CHECK(trial.runUntil(300ms, [&] {
    return asked->reply.has_value();
  }));
}

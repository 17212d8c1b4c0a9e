#include <catch2/catch.hpp>

#include "tests/pooler_trial.hpp"

using namespace tamarindshift;

TEST_CASE("pooler reads: a replica that was slow for a while gets reads again", "[pooler][mended]") {
  PoolerTrial trial;
  auto alice = trial.client("alice");
  auto bob = trial.client("bob", "bounded");
  auto read = [&](Duration duration) {
    auto from = trial.backEnds.runs.size();
    auto until = trial.world.now() + duration;
    while (trial.world.now() < until) {
      CHECK(alice->ask("WRITE a 1") == "OK");
      CHECK(bob->ask("READ a") == "OK");
      trial.run(20ms);
    }
    std::map<std::string, int> times;
    for (auto index = from; index < trial.backEnds.runs.size(); ++index)
      if (trial.backEnds.runs[index].statement.text == "READ a") ++times[trial.backEnds.runs[index].database];
    return times;
  };
  trial.backEnds.at("d2").runTime = 150ms;
  read(5s);
  trial.backEnds.at("d2").runTime = 1ms;
  auto times = read(30s);
  CHECK(times["d2"] > 0);
}

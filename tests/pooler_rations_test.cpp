#include <catch2/catch.hpp>

#include "tests/pooler_trial.hpp"

using namespace tamarindshift;

namespace {

struct RationsTrial : PoolerTrial {
  RationsTrial() {
    addRoute("counter", Consistency::primary, 0);
    addRoute("directory", Consistency::primary, 2);
    addRoute("listing", Consistency::lookups, 2);
    publishFleet();
    publishService();
    run(20ms);
  }
  void ration(std::uint32_t freeThrough, std::uint32_t later, const std::string& database = "d1") {
    updates.put("s1", "ration/" + database, Ration{freeThrough, {{settings.node, later}}});
    run(1ms);
  }
  void removeRation(const std::string& database = "d1") {
    updates.remove("s1", "ration/" + database);
    run(1ms);
  }
};

}  // namespace

TEST_CASE("pooler rations: work of later precedence waits while earlier work runs, and its refusal says why", "[pooler][rations]") {
  RationsTrial trial;
  trial.ration(0, 0);
  auto counter = trial.client("counter", "counter");
  auto directory = trial.client("directory", "directory");
  auto waiting = directory->start("WRITE b 1");
  CHECK(counter->ask("WRITE a 1") == "OK");
  CHECK_FALSE(waiting->reply);
  CHECK(directory->finish(waiting) == "CONGESTED");
  CHECK(waiting->reply->retryAfter);
  CHECK(waiting->reply->reason == "work of earlier orders goes first at a crowded database");
  CHECK(trial.counterValue("statements.rationed") == 1);
  CHECK(trial.runsOf("WRITE b 1").empty());
  CHECK(trial.violations.empty());
}

TEST_CASE("pooler rations: later work gets the connections that the ration grants the node, and all of them when it ends",
          "[pooler][rations]") {
  RationsTrial trial;
  trial.backEnds.at("d1").runTime = 50ms;
  trial.ration(0, 1);
  std::vector<std::unique_ptr<TrialClient>> clients;
  std::vector<std::shared_ptr<SentStatement>> asked;
  for (int number = 0; number < 3; ++number) {
    clients.push_back(trial.client("c" + std::to_string(number), "directory"));
    asked.push_back(clients.back()->start("WRITE b " + std::to_string(number)));
  }
  trial.run(40ms);
  auto started = [&] {
    return trial.runsOf("WRITE b 0").size() + trial.runsOf("WRITE b 1").size() + trial.runsOf("WRITE b 2").size();
  };
  CHECK(started() == 1);
  trial.removeRation();
  trial.run(20ms);
  CHECK(started() == 3);
  for (int number = 0; number < 3; ++number) CHECK(clients[number]->finish(asked[number]) == "OK");
}

TEST_CASE("pooler rations: a transaction that has begun continues, one that has not waits", "[pooler][rations]") {
  RationsTrial trial;
  auto begun = trial.client("begun", "directory");
  begun->ask("BEGIN");
  CHECK(begun->ask("WRITE a 1") == "OK");
  trial.ration(0, 0);
  auto later = trial.client("later", "directory");
  later->ask("BEGIN");
  auto waits = later->start("WRITE a 2");
  CHECK(begun->ask("WRITE a 3") == "OK");
  CHECK(begun->ask("COMMIT") == "OK");
  trial.run(50ms);
  CHECK_FALSE(waits->reply);
  trial.removeRation();
  CHECK(later->finish(waits) == "OK");
  CHECK(later->ask("COMMIT") == "OK");
  CHECK(trial.violations.empty());
}

TEST_CASE("pooler rations: reads go to a replica that is not rationed", "[pooler][rations]") {
  RationsTrial trial;
  auto counter = trial.client("counter", "counter");
  CHECK(counter->ask("WRITE a 1") == "OK");
  trial.run(100ms);
  auto listing = trial.client("listing", "listing");
  trial.ration(0, 0, "d1");
  trial.ration(0, 0, "d2");
  for (int number = 0; number < 5; ++number) CHECK(listing->ask("READ a") == "OK");
  for (const auto& run : trial.runsOf("READ a")) CHECK(run.database == "d3");
  CHECK(counter->ask("READ c") == "OK");
  CHECK(trial.runsOf("READ c").front().database == "d1");
}

TEST_CASE("pooler rations: a node that the ration does not list holds later work back until one lists it", "[pooler][rations]") {
  RationsTrial trial;
  trial.updates.put("s1", "ration/d1", Ration{0, {{Address{"10.1.0.9:1"}, 5}}});
  auto directory = trial.client("directory", "directory");
  auto waits = directory->start("WRITE b 1");
  trial.run(100ms);
  CHECK(trial.runsOf("WRITE b 1").empty());
  trial.ration(0, 1);
  CHECK(directory->finish(waits) == "OK");
}

TEST_CASE("pooler rations: running and waiting work is reported by precedence, and nothing for an idle database", "[pooler][rations]") {
  RationsTrial trial;
  trial.run(700ms);
  CHECK(trial.serviceReport().demands.empty());
  trial.backEnds.at("d1").runTime = 900ms;
  trial.publishShare(4);
  std::vector<std::unique_ptr<TrialClient>> clients;
  std::vector<std::shared_ptr<SentStatement>> asked;
  for (int number = 0; number < 7; ++number) {
    clients.push_back(trial.client("c" + std::to_string(number), number < 2 ? "counter" : "directory"));
    asked.push_back(clients.back()->start("WRITE b 1"));
  }
  auto reportedDemand = [&](std::uint32_t order) {
    auto demands = trial.serviceReport().demands;
    return demands.size() == 1 && demands.contains(DatabaseName{"d1"}) ? demands[DatabaseName{"d1"}][order] : 0;
  };
  CHECK(trial.runUntil(800ms, [&] {
    return reportedDemand(0) >= 18 && reportedDemand(0) <= 20 && reportedDemand(2) >= 48 && reportedDemand(2) <= 50;
  }));
  for (int number = 0; number < 7; ++number) clients[number]->finish(asked[number]);
  CHECK(trial.runUntil(3s, [&] {
    return trial.serviceReport().demands.empty();
  }));
}

#include <algorithm>

#include <catch2/catch.hpp>

#include "tests/pooler_trial.hpp"

using namespace tamarindshift;

namespace {

struct SharesTrial : PoolerTrial {
  explicit SharesTrial(Options options) : PoolerTrial(options) {}
  void addClients(std::size_t count) {
    for (std::size_t number = 0; number < count; ++number) {
      clients.push_back(client("c" + std::to_string(number)));
      asked.push_back(nullptr);
    }
  }
  void runLoad(Duration duration) {
    auto until = world.now() + duration;
    while (world.now() < until) {
      for (std::size_t index = 0; index < clients.size(); ++index)
        if (!asked[index] || asked[index]->reply) asked[index] = clients[index]->start("WRITE a " + std::to_string(index));
      run(1ms);
    }
  }
  std::vector<std::unique_ptr<TrialClient>> clients;
  std::vector<std::shared_ptr<SentStatement>> asked;
};

SharesTrial::Options withShare(std::uint32_t most) {
  SharesTrial::Options options;
  options.share = most;
  return options;
}

}  // namespace

TEST_CASE("pooler shares: the share bounds the connections to a database", "[pooler][shares]") {
  SharesTrial trial(withShare(3));
  trial.backEnds.at("d1").runTime = 20ms;
  trial.addClients(12);
  trial.runLoad(1s);
  CHECK(trial.backEnds.at("d1").peakConnections == 3);
  CHECK(trial.backEnds.at("d1").openings == 3);
}

TEST_CASE("pooler shares: without a share nothing is opened", "[pooler][shares]") {
  SharesTrial trial(withShare(0));
  auto alice = trial.client("alice");
  CHECK(alice->ask("WRITE a 1") == "CONGESTED");
  for (const auto& [name, database] : trial.backEnds.databases()) CHECK(database.openings == 0);
}

TEST_CASE("pooler shares: idle connections are closed at once when the share shrinks", "[pooler][shares]") {
  SharesTrial trial(withShare(4));
  trial.addClients(8);
  trial.runLoad(100ms);
  trial.run(200ms);
  CHECK(trial.backEnds.at("d1").connections == 4);
  trial.publishShare(1);
  trial.run(10ms);
  CHECK(trial.backEnds.at("d1").connections == 1);
  trial.publishShare(0);
  trial.run(10ms);
  CHECK(trial.backEnds.at("d1").connections == 0);
}

TEST_CASE("pooler shares: busy connections beyond a reduced share are not reused, and followed reports when they are closed",
          "[pooler][shares]") {
  SharesTrial trial(withShare(3));
  std::vector<std::unique_ptr<TrialClient>> holders;
  for (int number = 0; number < 3; ++number) {
    holders.push_back(trial.client("holder" + std::to_string(number)));
    holders.back()->ask("BEGIN");
    CHECK(holders.back()->ask("WRITE a 1") == "OK");
  }
  trial.publishShare(1);
  auto mark = trial.updates.mark("s1");
  trial.run(700ms);
  CHECK(trial.serviceReport().appliedPosition < mark);
  CHECK(holders[0]->ask("COMMIT") == "OK");
  trial.run(700ms);
  CHECK(trial.backEnds.at("d1").connections == 2);
  CHECK(trial.serviceReport().appliedPosition < mark);
  auto waiting = trial.client("waiting");
  CHECK(waiting->ask("READ b") == "CONGESTED");
  CHECK(holders[1]->ask("COMMIT") == "OK");
  trial.run(700ms);
  CHECK(trial.backEnds.at("d1").connections == 1);
  CHECK(trial.serviceReport().appliedPosition == mark);
  CHECK(holders[2]->ask("COMMIT") == "OK");
  CHECK(waiting->ask("READ b") == "OK");
}

TEST_CASE("pooler shares: a connection released beyond a reduced share is not granted again", "[pooler][shares]") {
  SharesTrial trial(withShare(3));
  std::vector<std::unique_ptr<TrialClient>> holders;
  for (int number = 0; number < 3; ++number) {
    holders.push_back(trial.client("holder" + std::to_string(number)));
    holders.back()->ask("BEGIN");
    CHECK(holders.back()->ask("WRITE a 1") == "OK");
  }
  auto waiting = trial.client("waiting");
  auto asked = waiting->start("READ b");
  trial.publishShare(1);
  trial.run(20ms);
  CHECK(holders[0]->ask("COMMIT") == "OK");
  trial.run(150ms);
  CHECK(trial.runsOf("READ b").empty());
  CHECK(holders[1]->ask("COMMIT") == "OK");
  CHECK(holders[2]->ask("COMMIT") == "OK");
  CHECK(waiting->finish(asked) == "OK");
}

TEST_CASE("pooler shares: a connection lost after the share was removed is not replaced", "[pooler][shares]") {
  SharesTrial trial(withShare(2));
  auto alice = trial.client("alice");
  trial.backEnds.at("d1").runTime = 200ms;
  auto asked = alice->start("WRITE a 1");
  trial.run(50ms);
  trial.publishShare(0);
  trial.run(20ms);
  auto openings = trial.backEnds.at("d1").openings;
  trial.backEnds.closeConnections("d1");
  CHECK(alice->finish(asked) == "UNRESOLVED");
  trial.run(90ms);
  CHECK(trial.backEnds.at("d1").openings == openings);
}

TEST_CASE("pooler shares: a larger share is used and reported as followed at once", "[pooler][shares]") {
  SharesTrial trial(withShare(1));
  trial.backEnds.at("d1").runTime = 20ms;
  trial.addClients(8);
  trial.runLoad(200ms);
  CHECK(trial.backEnds.at("d1").peakConnections == 1);
  trial.publishShare(5);
  trial.runLoad(700ms);
  CHECK(trial.backEnds.at("d1").connections == 5);
  CHECK(trial.serviceReport().appliedPosition == trial.updates.mark("s1"));
}

TEST_CASE("pooler shares: a larger share is requested when all connections are in use", "[pooler][shares]") {
  SharesTrial trial(withShare(2));
  trial.backEnds.at("d1").runTime = 50ms;
  trial.run(600ms);
  auto idle = trial.serviceReport().connectionDemand.at(BranchName{"work"});
  trial.addClients(10);
  trial.runLoad(1200ms);
  auto pressed = trial.serviceReport().connectionDemand.at(BranchName{"work"});
  CHECK(idle >= 1);
  CHECK(pressed > 2);
}

TEST_CASE("pooler shares: a share registered for another boot is not used", "[pooler][shares]") {
  SharesTrial trial(withShare(2));
  PublishedNode other;
  other.zone = Zone{"z1"};
  other.boot = 4;
  trial.updates.put(fleetTopic, "node/10.1.0.1:1", other);
  trial.run(20ms);
  auto alice = trial.client("alice");
  CHECK(alice->ask("WRITE a 1") == "CONGESTED");
  CHECK(trial.backEnds.at("d1").connections == 0);
}

TEST_CASE("pooler shares: under random changes connections grow only within the share and followed is correct", "[pooler][shares][seeds]") {
  for (std::uint64_t seed = 300; seed < 308; ++seed) {
    auto options = withShare(3);
    options.seed = seed;
    SharesTrial trial(options);
    INFO("seed " << seed);
    trial.addClients(8);
    std::map<std::uint64_t, std::uint32_t> shareAt{{trial.updates.mark("s1"), 3}};
    std::uint32_t share = 3;
    std::size_t reports = trial.reports.size();
    std::uint32_t before = 0;
    for (int step = 0; step < 3000; ++step) {
      if (trial.world.chance(10)) {
        share = static_cast<std::uint32_t>(trial.world.below(6));
        trial.publishShare(share);
        shareAt[trial.updates.mark("s1")] = share;
        trial.run(1ms);
        before = trial.backEnds.at("d1").connections;
      }
      if (trial.world.chance(10)) trial.backEnds.at("d1").runTime = std::chrono::milliseconds{1 + trial.world.below(60)};
      if (trial.world.chance(5)) trial.backEnds.closeConnections("d1");
      trial.runLoad(1ms);
      auto now = trial.backEnds.at("d1").connections;
      if (now > before) CHECK(now <= share);
      before = now;
      for (; reports < trial.reports.size(); ++reports) {
        auto found = trial.reports[reports].services.find(ServiceName{"s1"});
        if (found == trial.reports[reports].services.end()) continue;
        auto followed = shareAt.find(found->second.appliedPosition);
        if (followed != shareAt.end() && std::next(followed) == shareAt.end()) CHECK(now <= followed->second);
      }
    }
    trial.run(3s);
  }
}

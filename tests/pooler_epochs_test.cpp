#include <algorithm>

#include <catch2/catch.hpp>

#include "tests/pooler_trial.hpp"

using namespace tamarindshift;

namespace {

struct EpochTrial : PoolerTrial {
  bool reported(std::uint64_t epoch) const { return serviceReport().epoch == Epoch{epoch}; }
  bool everReported(std::uint64_t epoch) const {
    return std::any_of(reports.begin(), reports.end(), [&](const NodeReport& each) {
      auto found = each.services.find(ServiceName{"s1"});
      return found != each.services.end() && found->second.epoch == Epoch{epoch};
    });
  }
};

}  // namespace

TEST_CASE("pooler epochs: the first epoch is reported with the node's boot number", "[pooler][epochs]") {
  EpochTrial trial;
  CHECK(trial.runUntil(600ms, [&] {
    return trial.reported(1);
  }));
  CHECK(trial.report().boot == 5);
  CHECK(trial.report().node == Address{"10.1.0.1:1"});
}

TEST_CASE("pooler epochs: an unplanned change closes connections with running work at once and is then reported", "[pooler][epochs]") {
  EpochTrial trial;
  auto alice = trial.client("alice");
  auto bob = trial.client("bob");
  auto carol = trial.client("carol");
  carol->ask("BEGIN");
  CHECK(carol->ask("WRITE c 1") == "OK");
  trial.backEnds.at("d1").runTime = 900ms;
  auto write = alice->start("WRITE a 1");
  auto read = bob->start("READ b");
  trial.run(50ms);
  trial.publishPrimary(2, "d2", false);
  CHECK(alice->finish(write) == "UNRESOLVED");
  CHECK(write->elapsed() <= 60ms);
  CHECK(trial.runUntil(200ms, [&] {
    return trial.reported(2);
  }));
  CHECK(trial.backEnds.at("d1").connections == 0);
  CHECK(carol->ask("COMMIT") == "ABORTED");
  trial.makePrimary("d2");
  trial.publishPrimary(2, "d2", true);
  CHECK(bob->finish(read) == "OK");
  CHECK(trial.runsOf("READ b").back().database == "d2");
}

TEST_CASE("pooler epochs: an unplanned change does not affect reads at replicas", "[pooler][epochs]") {
  EpochTrial trial;
  auto alice = trial.client("alice");
  auto bob = trial.client("bob", "bounded");
  CHECK(alice->ask("WRITE a 1") == "OK");
  for (const char* name : {"d2", "d3"}) trial.backEnds.at(name).runTime = 300ms;
  auto read = bob->start("READ b");
  trial.run(50ms);
  trial.publishPrimary(2, "d2", false);
  CHECK(bob->finish(read) == "OK");
  CHECK(trial.runsOf("READ b").size() == 1);
}

TEST_CASE("pooler epochs: a planned change lets running work finish and is reported only then", "[pooler][epochs]") {
  EpochTrial trial;
  auto alice = trial.client("alice");
  trial.backEnds.at("d1").runTime = 300ms;
  auto asked = alice->start("WRITE a 1");
  trial.run(50ms);
  trial.publishPrimary(2, "d2", false, true);
  trial.runUntil(1s, [&] {
    CHECK((asked->reply || !trial.everReported(2)));
    return asked->reply.has_value();
  });
  CHECK(alice->finish(asked) == "OK");
  CHECK(trial.committed(asked->id) == 1);
}

TEST_CASE("pooler epochs: in a planned change an open transaction may finish within plannedChangeGrace", "[pooler][epochs]") {
  EpochTrial trial;
  auto alice = trial.client("alice");
  alice->ask("BEGIN");
  CHECK(alice->ask("WRITE a 1") == "OK");
  trial.publishPrimary(2, "d2", false, true);
  trial.run(200ms);
  CHECK_FALSE(trial.everReported(2));
  CHECK(alice->ask("WRITE a 2") == "OK");
  CHECK(alice->ask("COMMIT") == "OK");
  CHECK(trial.backEnds.at("d1").committed.size() == 2);
  CHECK(trial.runUntil(200ms, [&] {
    return trial.reported(2);
  }));
}

TEST_CASE("pooler epochs: work that does not finish in a planned change is closed after plannedChangeGrace", "[pooler][epochs]") {
  EpochTrial trial;
  auto alice = trial.client("alice");
  auto bob = trial.client("bob");
  bob->ask("BEGIN");
  CHECK(bob->ask("WRITE b 1") == "OK");
  trial.backEnds.at("d1").runTime = 900ms;
  auto asked = alice->start("WRITE a 1");
  trial.run(50ms);
  trial.publishPrimary(2, "d2", false, true);
  CHECK(alice->finish(asked) == "UNRESOLVED");
  CHECK(asked->elapsed() >= 440ms);
  CHECK(asked->elapsed() <= 560ms);
  CHECK(trial.runUntil(200ms, [&] {
    return trial.reported(2);
  }));
  CHECK(bob->ask("COMMIT") == "ABORTED");
  CHECK(trial.committed("bob.2") == 0);
}

TEST_CASE("pooler epochs: no statement of a transaction is sent after plannedChangeGrace, even before its connection is closed",
          "[pooler][epochs]") {
  EpochTrial trial;
  auto alice = trial.client("alice");
  alice->ask("BEGIN");
  CHECK(alice->ask("WRITE a 1") == "OK");
  trial.publishPrimary(2, "d2", false, true);
  trial.run(50ms);
  trial.publishDatabase("d3", "z2");
  trial.run(355ms);
  auto text = GENERATE(as<std::string>{}, "WRITE a 2", "COMMIT");
  CHECK(alice->ask(text) == "ABORTED");
  CHECK(trial.runsOf(text).empty());
  CHECK(trial.backEnds.at("d1").committed.empty());
}

TEST_CASE("pooler epochs: a read at the primary for lack of a position sample is closed and answered elsewhere", "[pooler][epochs]") {
  EpochTrial trial;
  auto bob = trial.client("bob", "bounded");
  trial.backEnds.at("d1").runTime = 900ms;
  auto asked = bob->start("READ b");
  trial.run(50ms);
  REQUIRE(trial.runsOf("READ b").back().database == "d1");
  trial.publishPrimary(2, "d2", false);
  trial.run(20ms);
  CHECK(trial.backEnds.at("d1").connections == 0);
  trial.makePrimary("d2");
  trial.publishPrimary(2, "d2", true);
  CHECK(bob->finish(asked) == "OK");
  CHECK(asked->elapsed() < 200ms);
  CHECK(trial.runsOf("READ b").back().database == "d2");
}

TEST_CASE("pooler epochs: an unplanned change closes idle connections to the former primary", "[pooler][epochs]") {
  EpochTrial trial;
  auto alice = trial.client("alice");
  CHECK(alice->ask("WRITE a 1") == "OK");
  CHECK(trial.backEnds.at("d1").connections == 1);
  trial.publishPrimary(2, "d2", false);
  trial.run(10ms);
  CHECK(trial.backEnds.at("d1").connections == 0);
}

TEST_CASE("pooler epochs: in a planned change no new work is sent to the former primary", "[pooler][epochs]") {
  EpochTrial trial;
  auto alice = trial.client("alice");
  auto bob = trial.client("bob");
  alice->ask("BEGIN");
  CHECK(alice->ask("WRITE a 1") == "OK");
  trial.publishPrimary(2, "d2", false, true);
  trial.run(10ms);
  auto asked = bob->start("WRITE b 1");
  auto carol = trial.client("carol");
  carol->ask("BEGIN");
  auto begun = carol->start("READ c");
  trial.run(200ms);
  CHECK(trial.runsOf("WRITE b 1").empty());
  CHECK(trial.runsOf("READ c").empty());
  CHECK(alice->ask("COMMIT") == "OK");
  trial.makePrimary("d2");
  trial.publishPrimary(2, "d2", true, true);
  CHECK(bob->finish(asked) == "OK");
  CHECK(carol->finish(begun) == "OK");
  CHECK(trial.runsOf("WRITE b 1").front().database == "d2");
}

TEST_CASE("pooler epochs: an unplanned change after a planned one closes work that was still allowed to finish", "[pooler][epochs]") {
  EpochTrial trial;
  auto alice = trial.client("alice");
  trial.backEnds.at("d1").runTime = 900ms;
  auto asked = alice->start("WRITE a 1");
  trial.run(50ms);
  trial.publishPrimary(2, "d2", false, true);
  trial.run(50ms);
  trial.publishPrimary(3, "d3", false);
  CHECK(alice->finish(asked) == "UNRESOLVED");
  CHECK(asked->elapsed() <= 120ms);
  CHECK(trial.runUntil(200ms, [&] {
    return trial.reported(3);
  }));
  CHECK_FALSE(trial.everReported(2));
}

TEST_CASE("pooler epochs: acknowledged log positions are reported", "[pooler][epochs]") {
  EpochTrial trial;
  auto alice = trial.client("alice");
  CHECK(alice->ask("WRITE a 1") == "OK");
  CHECK(alice->ask("READ a") == "OK");
  alice->ask("BEGIN");
  CHECK(alice->ask("WRITE a 2") == "OK");
  CHECK(alice->ask("COMMIT") == "OK");
  trial.run(600ms);
  CHECK(trial.serviceReport().acknowledged == LogPosition{Epoch{3}, Position{102}});
  CHECK(trial.serviceReport().hasRecentWork);
  trial.run(2s);
  CHECK_FALSE(trial.serviceReport().hasRecentWork);
  CHECK(trial.serviceReport().acknowledged == LogPosition{Epoch{3}, Position{102}});
}

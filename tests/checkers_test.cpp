#include <catch2/catch.hpp>

#include <algorithm>

#include "simulated/scenario.hpp"
#include "tests/engine_cluster.hpp"

using namespace tamarindshift;
using namespace tamarindshift::testing;

namespace {

bool reportsFault(const std::string& file, const std::string& expected) {
  Scenario scenario;
  REQUIRE(scenario.load(std::string(BROKEN_FOLDER) + "/" + file));
  scenario.run(1);
  for (const auto& fault : scenario.faults()) UNSCOPED_INFO(fault);
  return std::any_of(scenario.faults().begin(), scenario.faults().end(), [&](const auto& fault) {
    return fault.find(expected) != std::string::npos;
  });
}

class EarlySyncStore : public SimulatedStore {
 public:
  EarlySyncStore(Clock& clock, SimulatedDisk& disk) : SimulatedStore(clock, disk, Duration{400ms}), clock_(clock) {}
  void sync(std::function<void()> synced) override {
    SimulatedStore::sync([] {});
    clock_.after(Duration::zero(), std::move(synced));
  }

 private:
  Clock& clock_;
};

std::size_t faultsWithEarlySync(std::uint64_t seed) {
  EngineCluster cluster(3, seed);
  cluster.makeStore = [](Clock& clock, SimulatedDisk& disk) {
    return std::make_unique<EarlySyncStore>(clock, disk);
  };
  for (std::size_t index = 0; index < 3; ++index) cluster.start(index);
  cluster.run(3s);
  for (int round = 0; round < 6; ++round) {
    for (std::size_t index = 0; index < 3; ++index) cluster.submit(index);
    cluster.run(50ms);
    for (std::size_t index = 0; index < 3; ++index) cluster.kill(index);
    for (std::size_t index = 0; index < 3; ++index) cluster.start(index);
    cluster.run(4s);
  }
  cluster.verify();
  return cluster.faults.size();
}

}  // namespace

TEST_CASE("checkers: a machine that ignores the end of its lease is reported") {
  CHECK(reportsFault("clock.txt", "is older than 3 s"));
  CHECK(reportsFault("clock.txt", "missed"));
}

TEST_CASE("checkers: a write that ran twice is reported") {
  CHECK(reportsFault("twice.txt", "twice"));
}

TEST_CASE("checkers: a read beyond the staleness bound is reported") {
  CHECK(reportsFault("stale.txt", "missed"));
}

TEST_CASE("checkers: a read that misses the session's own writes is reported") {
  CHECK(reportsFault("own-writes.txt", "missed its own"));
}

TEST_CASE("checkers: a statement altered on its way is reported") {
  CHECK(reportsFault("altered.txt", "ran what no session sent"));
}

TEST_CASE("checkers: requests on the connections of other sessions are reported") {
  CHECK(reportsFault("crossed.txt", "not in its own transaction"));
  CHECK(reportsFault("crossed.txt", "outside of its transaction"));
  CHECK(reportsFault("crossed.txt", "another session's values or shapes"));
}

TEST_CASE("checkers: a rollback that no client sent is reported") {
  CHECK(reportsFault("inserted.txt", "rollback"));
}

TEST_CASE("checkers: a service that could have recovered and did not is reported") {
  CHECK(reportsFault("never-back.txt", "was served 0 of"));
}

TEST_CASE("checkers: more connections than the plans in force allow are reported") {
  CHECK(reportsFault("cap.txt", "connections at"));
  CHECK(reportsFault("cap.txt", "was opened connection"));
}

TEST_CASE("checkers: work that no plan allows and work at a database that left are reported") {
  CHECK(reportsFault("plan.txt", "no plan in force allows"));
  CHECK(reportsFault("plan.txt", "was sent work"));
}

TEST_CASE("checkers: a store that reports synced too early is noticed") {
  std::size_t faults = 0;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) faults += faultsWithEarlySync(seed);
  CHECK(faults > 0);
}

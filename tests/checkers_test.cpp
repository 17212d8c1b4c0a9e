#include <catch2/catch.hpp>

#include <algorithm>

#include "simulated/scenario.hpp"
#include "tests/engine_cluster.hpp"

using namespace tamarindshift;
using namespace tamarindshift::testing;

namespace {

bool notices(const std::string& file, const std::string& expected) {
  Scenario scenario;
  REQUIRE(scenario.load(std::string(BROKEN_FOLDER) + "/" + file));
  scenario.run(1);
  for (const auto& fault : scenario.faults()) UNSCOPED_INFO(fault);
  return std::any_of(scenario.faults().begin(), scenario.faults().end(), [&](const auto& fault) {
    return fault.find(expected) != std::string::npos;
  });
}

class LyingStore : public SimulatedStore {
 public:
  LyingStore(Clock& clock, SimulatedDisk& disk) : SimulatedStore(clock, disk, Duration{400ms}), clock_(clock) {}
  void sync(std::function<void()> synced) override {
    SimulatedStore::sync([] {});
    clock_.after(Duration::zero(), std::move(synced));
  }

 private:
  Clock& clock_;
};

std::size_t faultsWithLies(std::uint64_t seed) {
  EngineCluster cluster(3, seed);
  cluster.makeStore = [](Clock& clock, SimulatedDisk& disk) {
    return std::make_unique<LyingStore>(clock, disk);
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

TEST_CASE("the checkers notice a machine that ignores the end of its lease") {
  CHECK(notices("clock.txt", "is older than 3 s"));
  CHECK(notices("clock.txt", "missed"));
}

TEST_CASE("the checkers notice a write that ran twice") {
  CHECK(notices("twice.txt", "twice"));
}

TEST_CASE("the checkers notice a read that is too old") {
  CHECK(notices("stale.txt", "missed"));
}

TEST_CASE("the checkers notice a read behind the session's own writes") {
  CHECK(notices("own-writes.txt", "missed its own"));
}

TEST_CASE("the checkers notice a statement that was changed on its way") {
  CHECK(notices("altered.txt", "ran what no session sent"));
}

TEST_CASE("the checkers notice requests on the connections of other sessions") {
  CHECK(notices("crossed.txt", "not in its own transaction"));
  CHECK(notices("crossed.txt", "outside of its transaction"));
  CHECK(notices("crossed.txt", "another session's values or shapes"));
}

TEST_CASE("the checkers notice a rollback that nobody sent") {
  CHECK(notices("inserted.txt", "rollback"));
}

TEST_CASE("the checkers notice a service that could be back and is not") {
  CHECK(notices("never-back.txt", "was served 0 of"));
}

TEST_CASE("the checkers notice more connections than the plans in force allow") {
  CHECK(notices("cap.txt", "connections at"));
  CHECK(notices("cap.txt", "was opened connection"));
}

TEST_CASE("the checkers notice work that no plan allows and work at a database that left") {
  CHECK(notices("plan.txt", "no plan in force allows"));
  CHECK(notices("plan.txt", "was sent work"));
}

TEST_CASE("the checkers notice a store that says synced before it is") {
  std::size_t faults = 0;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) faults += faultsWithLies(seed);
  CHECK(faults > 0);
}

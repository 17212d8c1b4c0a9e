// A member that was down for hundreds of updates must catch up quickly, whatever is left on its disk. Guards against a member that
// leads or serves before it holds everything that was acknowledged.

#include <catch2/catch.hpp>

#include <algorithm>

#include "tests/engine_cluster.hpp"

using namespace tamarindshift;
using namespace tamarindshift::testing;

namespace {

/// The disk with which a member comes back.
enum class DiskState { intact, empty, tailLost };

struct CatchUp : EngineCluster {
  explicit CatchUp(std::uint64_t seed = 31, EngineBounds initialBounds = {}) : EngineCluster(3, seed) {
    bounds = initialBounds;
    for (std::size_t index = 0; index < 3; ++index) start(index);
    run(3s);
  }

  const ReplicationEngine& engine(std::size_t index) { return nodes[index]->core->engine(); }

  /// Submits this many updates to the members that are up, in turn, with time for their acknowledgement.
  void submitAcknowledged(std::size_t amount) {
    std::vector<std::size_t> running;
    for (std::size_t index = 0; index < 3; ++index)
      if (isUp(index)) running.push_back(index);
    for (std::size_t number = 0; number < amount; ++number) {
      submit(running[number % running.size()]);
      run(12ms);
    }
    run(500ms);
  }

  void takeDown(std::size_t index, DiskState diskState) {
    kill(index);
    auto& disk = nodes[index]->disk;
    if (diskState == DiskState::empty) disk.empty();
    if (diskState == DiskState::tailLost) disk.synced.resize(disk.synced.size() - std::min<std::size_t>(disk.synced.size() / 4, 40));
  }

  /// A member has everything that was acknowledged before the instant at which it is confirmed in the primary component.
  void checkConfirmation(std::size_t index) {
    if (!isUp(index)) return;
    auto confirmed = engine(index).primaryConfirmedAt();
    if (!confirmed) return;
    const auto& applied = nodes[index]->application->applied;
    std::set<std::string> held(applied.begin(), applied.end());
    for (const auto& [update, at] : acknowledgedAt)
      if (at < *confirmed && !held.contains(update)) {
        faults.push_back("member " + std::to_string(index + 1) + " is confirmed in the primary component without " + update);
        return;
      }
  }

  bool isCaughtUp(std::size_t index) {
    if (!isUp(index) || engine(index).state() != EngineState::regPrim) return false;
    return engine(index).greenLine() >= greenOrder.rbegin()->first;
  }

  /// Time until a started member has caught up, looked at every 5 ms with `checkConfirmation`; no value after `timeout`.
  std::optional<Duration> timeUntilCaughtUp(std::size_t index, Duration timeout) {
    auto since = world.now();
    while (world.now() - since < timeout) {
      run(5ms);
      checkConfirmation(index);
      if (isCaughtUp(index)) return world.now() - since;
    }
    return std::nullopt;
  }

  void finish() {
    run(2s);
    verify();
    for (const auto& fault : faults) UNSCOPED_INFO(fault);
    CHECK(faults.empty());
    CHECK(primaryMemberCount() == 3);
  }
};

}  // namespace

TEST_CASE("a member that missed hundreds of updates catches up within two seconds, whatever is left on its disk") {
  for (auto diskState : {DiskState::intact, DiskState::empty, DiskState::tailLost})
    for (std::size_t amount : {100, 500, 2000, 3000})
      for (std::size_t member : {0, 2}) {
        CatchUp cluster;
        cluster.submitAcknowledged(30);
        cluster.takeDown(member, diskState);
        cluster.run(1s);
        cluster.submitAcknowledged(amount);
        cluster.start(member);
        auto elapsed = cluster.timeUntilCaughtUp(member, 10s);
        INFO("member " << member + 1 << " after " << amount << " updates, disk " << static_cast<int>(diskState));
        REQUIRE(elapsed);
        WARN("caught up after " << milliseconds(*elapsed).count() << " ms: member " << member + 1 << ", " << amount << " updates, disk "
                                << static_cast<int>(diskState));
        CHECK(*elapsed < 2s);
        cluster.submitAcknowledged(20);
        CHECK(cluster.acknowledged.size() > amount + 40);
        cluster.finish();
      }
}

TEST_CASE("a catch-up that is interrupted at any moment by the loss of the leader is completed by the next leader") {
  for (auto diskState : {DiskState::intact, DiskState::empty})
    for (auto offset = 0ms; offset <= 1200ms; offset += 40ms) {
      INFO("the leader is lost " << offset.count() << " ms into it, disk " << static_cast<int>(diskState));
      EngineBounds bounds;
      bounds.maxGreenKept = 50;
      CatchUp cluster(40 + static_cast<std::uint64_t>(offset.count()), bounds);
      cluster.takeDown(2, diskState);
      cluster.run(1s);
      cluster.submitAcknowledged(200);
      cluster.start(2);
      for (auto until = cluster.world.now() + offset; cluster.world.now() < until;) {
        cluster.run(5ms);
        cluster.checkConfirmation(2);
      }
      cluster.kill(0);
      cluster.run(300ms);
      cluster.checkConfirmation(2);
      cluster.start(0);
      for (std::size_t index : {0, 1, 2}) {
        INFO("member " << index + 1);
        CHECK(cluster.timeUntilCaughtUp(index, 10s));
      }
      cluster.finish();
    }
}

TEST_CASE("a snapshot of many megabytes reaches a member with an empty disk") {
  EngineBounds bounds;
  bounds.maxGreenKept = 10;
  CatchUp cluster(31, bounds);
  cluster.paddingBytes = 100'000;
  cluster.takeDown(1, DiskState::empty);
  cluster.run(1s);
  cluster.submitAcknowledged(80);
  cluster.start(1);
  CHECK(cluster.timeUntilCaughtUp(1, 10s));
  cluster.finish();
}

TEST_CASE("the log on disk and the actions kept in memory stay within their bounds over thousands of updates") {
  EngineBounds bounds;
  bounds.rewriteThresholdBytes = 100'000;
  CatchUp cluster(31, bounds);
  cluster.submitAcknowledged(3000);
  for (std::size_t index = 0; index < 3; ++index) {
    std::size_t bytes = 0;
    for (const auto& record : cluster.nodes[index]->disk.synced) bytes += record.size();
    CHECK(bytes < 4 * cluster.bounds.rewriteThresholdBytes);
    CHECK(cluster.engine(index).whiteLine() + cluster.bounds.maxGreenKept >= cluster.engine(index).greenLine());
  }
  cluster.finish();
}

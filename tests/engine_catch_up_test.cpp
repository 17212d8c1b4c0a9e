// A member that was away for hundreds of changes catches up, and neither leads nor serves before it is level.

#include <catch2/catch.hpp>

#include <algorithm>

#include "tests/engine_cluster.hpp"

using namespace tamarindshift;
using namespace tamarindshift::testing;

namespace {

enum class Return { oldDisk, emptyDisk, lostTail };

struct CatchUp : EngineCluster {
  explicit CatchUp(std::uint64_t seed = 31, EngineBounds given = {}) : EngineCluster(3, seed) {
    bounds = given;
    for (std::size_t index = 0; index < 3; ++index) start(index);
    run(3s);
  }

  const ReplicationEngine& engine(std::size_t index) { return nodes[index]->core->engine(); }

  /// Has this many changes acknowledged by the members that are up.
  void change(std::size_t amount) {
    std::vector<std::size_t> running;
    for (std::size_t index = 0; index < 3; ++index)
      if (up(index)) running.push_back(index);
    for (std::size_t number = 0; number < amount; ++number) {
      submit(running[number % running.size()]);
      run(12ms);
    }
    run(500ms);
  }

  void away(std::size_t index, Return how) {
    kill(index);
    auto& disk = nodes[index]->disk;
    if (how == Return::emptyDisk) disk.empty();
    if (how == Return::lostTail) disk.synced.resize(disk.synced.size() - std::min<std::size_t>(disk.synced.size() / 4, 40));
  }

  /// A member that proves itself has everything that was acknowledged before the moment of its proof.
  void checkProof(std::size_t index) {
    if (!up(index)) return;
    auto proved = engine(index).primaryConfirmedAt();
    if (!proved) return;
    const auto& applied = nodes[index]->application->applied;
    std::set<std::string> held(applied.begin(), applied.end());
    for (const auto& [update, at] : acknowledgedAt)
      if (at < *proved && !held.contains(update)) {
        faults.push_back("member " + std::to_string(index + 1) + " proves itself without " + update);
        return;
      }
  }

  bool level(std::size_t index) {
    if (!up(index) || engine(index).state() != EngineState::regPrim) return false;
    return engine(index).greenLine() >= order.rbegin()->first;
  }

  /// Time until a started member is level, looked at every 5 ms; its proof is checked each time.
  std::optional<Duration> untilLevel(std::size_t index, Duration most) {
    auto since = world.now();
    while (world.now() - since < most) {
      run(5ms);
      checkProof(index);
      if (level(index)) return world.now() - since;
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

TEST_CASE("a member that was away for hundreds of changes is level within two seconds, whatever became of its disk") {
  for (auto how : {Return::oldDisk, Return::emptyDisk, Return::lostTail})
    for (std::size_t amount : {100, 500, 2000, 3000})
      for (std::size_t member : {0, 2}) {
        CatchUp cluster;
        cluster.change(30);
        cluster.away(member, how);
        cluster.run(1s);
        cluster.change(amount);
        cluster.start(member);
        auto took = cluster.untilLevel(member, 10s);
        INFO("member " << member + 1 << " after " << amount << " changes, disk " << static_cast<int>(how));
        REQUIRE(took);
        WARN("level after " << milliseconds(*took).count() << " ms: member " << member + 1 << ", " << amount << " changes, disk "
                            << static_cast<int>(how));
        CHECK(*took < 2s);
        cluster.change(20);
        CHECK(cluster.acknowledged.size() > amount + 40);
        cluster.finish();
      }
}

TEST_CASE("a catch-up that is interrupted at any moment by the loss of the member that leads is done by the next one") {
  for (auto how : {Return::oldDisk, Return::emptyDisk})
    for (auto offset = 0ms; offset <= 1200ms; offset += 40ms) {
      INFO("the leader is lost " << offset.count() << " ms into it, disk " << static_cast<int>(how));
      EngineBounds bounds;
      bounds.maxGreenKept = 50;
      CatchUp cluster(40 + static_cast<std::uint64_t>(offset.count()), bounds);
      cluster.away(2, how);
      cluster.run(1s);
      cluster.change(200);
      cluster.start(2);
      for (auto until = cluster.world.now() + offset; cluster.world.now() < until;) {
        cluster.run(5ms);
        cluster.checkProof(2);
      }
      cluster.kill(0);
      cluster.run(300ms);
      cluster.checkProof(2);
      cluster.start(0);
      for (std::size_t index : {0, 1, 2}) {
        INFO("member " << index + 1);
        CHECK(cluster.untilLevel(index, 10s));
      }
      cluster.finish();
    }
}

TEST_CASE("a whole state of many megabytes reaches a member with an empty disk") {
  EngineBounds bounds;
  bounds.maxGreenKept = 10;
  CatchUp cluster(31, bounds);
  cluster.paddingBytes = 100'000;
  cluster.away(1, Return::emptyDisk);
  cluster.run(1s);
  cluster.change(80);
  cluster.start(1);
  CHECK(cluster.untilLevel(1, 10s));
  cluster.finish();
}

TEST_CASE("the log on disk and the actions kept in memory stay within their bounds over thousands of changes") {
  EngineBounds bounds;
  bounds.rewriteThresholdBytes = 100'000;
  CatchUp cluster(31, bounds);
  cluster.change(3000);
  for (std::size_t index = 0; index < 3; ++index) {
    std::size_t bytes = 0;
    for (const auto& record : cluster.nodes[index]->disk.synced) bytes += record.size();
    CHECK(bytes < 4 * cluster.bounds.rewriteThresholdBytes);
    CHECK(cluster.engine(index).whiteLine() + cluster.bounds.maxGreenKept >= cluster.engine(index).greenLine());
  }
  cluster.finish();
}

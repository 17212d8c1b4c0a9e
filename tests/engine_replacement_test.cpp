// Members that are replaced at other addresses, planned and unplanned, with a second loss at every stage.
//
// What must hold at every moment: each acknowledged action is synced on at least losses + 1 disks of members, less
// the disks that were lost since and whose machines have not caught up; and the group goes on once the machines that
// may be lost are back.

#include <catch2/catch.hpp>

#include <cstdio>
#include <cstdlib>

#include "tests/engine_cluster.hpp"

using namespace tamarindshift;
using namespace tamarindshift::testing;

namespace {

constexpr Duration catchUp = 4s;

struct Replacement : EngineCluster {
  Replacement(std::size_t members, std::size_t slots, std::uint64_t seed) : EngineCluster(slots, seed) {
    losses = (members - 1) / 2;
    bounds.maxGreenKept = 10;
    bounds.rewriteThresholdBytes = 10'000;
    for (std::size_t index = 0; index < members; ++index) begin(index);
    run(3s);
    work(500ms);
  }

  void begin(std::size_t index) {
    if (founded) seeds = listed();
    start(index);
    serving.insert(index);
    founded = founded || serving.size() >= 3;
    startedAt[index] = world.now();
  }
  /// The operator's list, which lags: members that serve, and the last that went, to make three.
  std::set<std::size_t> listed() const {
    auto list = serving;
    for (auto each = gone.rbegin(); each != gone.rend() && list.size() < 3; ++each) list.insert(*each);
    return list;
  }
  /// The machine is gone for good, its disk with it.
  void goneForGood(std::size_t index) {
    kill(index);
    serving.erase(index);
    gone.push_back(index);
    nodes[index]->disk.empty();
    lostDisks.insert(index);
  }
  void wipe(std::size_t index) {
    kill(index);
    nodes[index]->disk.empty();
  }

  /// Lets time pass with orders to every member, and looks at the copies after each.
  void work(Duration duration) {
    auto until = world.now() + duration;
    while (world.now() < until) {
      submit(*std::next(serving.begin(), static_cast<std::ptrdiff_t>(world.below(serving.size()))));
      run(Duration{world.below(120'000)});
      checkCopies();
    }
  }

  std::set<ServerId> group() const {
    std::set<ServerId> newest;
    std::uint64_t green = 0;
    for (const auto& node : nodes)
      if (node->core && node->core->engine().state() == EngineState::regPrim && node->core->engine().greenLine() >= green) {
        green = node->core->engine().greenLine();
        newest = node->core->engine().members();
      }
    return newest;
  }

  void checkCopies() {
    auto members = group();
    if (members.empty()) return;
    std::map<std::string, std::size_t> copies;
    std::size_t behind = 0;
    for (auto index : serving) {
      bool fresh = startedAt.contains(index) && world.now() - startedAt.at(index) < catchUp;
      bool counts = up(index) && members.contains(nodes[index]->core->serverId());
      if (fresh || !counts) ++behind;
      if (!counts && up(index)) continue;
      for (const auto& update : synced(index)) ++copies[update];
    }
    for (const auto& [update, position] : acknowledged)
      if (copies[update] + std::max(behind, lostDisks.size()) < losses + 1)
        faults.push_back(update + " is synced on " + std::to_string(copies[update]) + " disks only");
  }

  void settle() {
    for (auto index : serving) start(index);
    run(8s);
    work(500ms);
    run(1s);
    std::size_t primary = 0;
    for (auto index : serving) primary += up(index) && nodes[index]->core->engine().state() == EngineState::regPrim;
    if (primary != serving.size())
      faults.push_back("only " + std::to_string(primary) + " of " + std::to_string(serving.size()) + " are in the primary component");
    if (group().size() != serving.size()) faults.push_back("the group has " + std::to_string(group().size()) + " members");
    auto before = acknowledged.size();
    work(500ms);
    if (acknowledged.size() == before) faults.push_back("nothing is acknowledged at the end");
    // what one member has green reaches the others a moment later
    run(200ms);
    verify();
  }

  std::set<std::size_t> serving;
  std::vector<std::size_t> gone;
  bool founded = false;
  std::set<std::size_t> lostDisks;
  std::map<std::size_t, Instant> startedAt;
};

void require(const Replacement& cluster) {
  if (std::getenv("ENGINE_LINES") && !cluster.faults.empty())
    for (const auto& line : cluster.lines) std::puts(line.c_str());
  for (const auto& fault : cluster.faults) UNSCOPED_INFO(fault);
  REQUIRE(cluster.faults.empty());
}

/// Kills a member, with its disk or not, at `offset` after the newcomer started, and brings it back.
void secondLoss(Replacement& cluster, std::size_t second, Duration offset, bool losesDisk) {
  cluster.work(offset);
  if (losesDisk)
    cluster.wipe(second);
  else
    cluster.kill(second);
  cluster.work(400ms);
  cluster.begin(second);
}

}  // namespace

TEST_CASE("a second loss at every stage of an unplanned replacement costs nothing that was acknowledged") {
  for (std::size_t gone = 0; gone < 3; ++gone)
    for (std::size_t second = 0; second < 4; ++second) {
      if (second == gone) continue;
      for (auto offset = Duration::zero(); offset <= 5s; offset += 200ms) {
        bool losesDisk = offset >= catchUp;
        INFO("member " << gone + 1 << " gone, then " << second + 1 << " after " << milliseconds(offset).count() << " ms, disk "
                       << (losesDisk ? "lost" : "kept"));
        Replacement cluster(3, 4, 7 + second);
        cluster.goneForGood(gone);
        cluster.work(900ms);
        cluster.begin(3);
        secondLoss(cluster, second, offset, losesDisk);
        cluster.settle();
        require(cluster);
      }
    }
}

namespace {

/// A newcomer has had its time, the old member stops, and another one loses its disk `offset` later.
void plannedReplacement(Replacement& cluster, std::size_t leaver, std::size_t second, Duration offset) {
  cluster.begin(3);
  cluster.work(catchUp);
  cluster.stop(leaver);
  cluster.serving.erase(leaver);
  secondLoss(cluster, second, offset, true);
  cluster.settle();
}

}  // namespace

TEST_CASE("a second loss at every stage of a planned replacement costs nothing, also right after the old member stopped") {
  for (std::size_t leaver = 0; leaver < 3; ++leaver)
    for (std::size_t second = 0; second < 4; ++second) {
      if (second == leaver) continue;
      for (auto offset = Duration::zero(); offset <= 2s; offset += 100ms) {
        INFO("member " << leaver + 1 << " stopped, then " << second + 1 << " lost its disk after " << milliseconds(offset).count()
                       << " ms");
        Replacement cluster(3, 4, 11 + second);
        plannedReplacement(cluster, leaver, second, offset);
        require(cluster);
      }
    }
}

TEST_CASE("the checks notice a member that stops without leaving the group") {
  Replacement cluster(3, 4, 12);
  cluster.leavesWhenSpare = false;
  plannedReplacement(cluster, 0, 1, 100ms);
  CHECK_FALSE(cluster.faults.empty());
}

TEST_CASE("a member that stops waits until enough others hold what it acknowledged") {
  for (std::size_t leaver = 0; leaver < 3; ++leaver) {
    Replacement cluster(3, 3, 17);
    auto other = (leaver + 1) % 3;
    auto third = (leaver + 2) % 3;
    cluster.kill(other);
    cluster.work(2s);
    cluster.start(other);
    cluster.stop(leaver);
    for (const auto& [update, position] : cluster.acknowledged)
      CHECK((cluster.synced(other).contains(update) && cluster.synced(third).contains(update)));
    cluster.start(leaver);
    cluster.settle();
    require(cluster);
  }
}

TEST_CASE("members stop and are replaced at random, one machine lost at a time, and all that was acknowledged stays") {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    INFO("seed " << seed);
    Replacement cluster(3, 12, seed);
    std::size_t next = 3;
    for (int round = 0; round < 9; ++round) {
      auto one = *std::next(cluster.serving.begin(), static_cast<std::ptrdiff_t>(cluster.world.below(cluster.serving.size())));
      switch (cluster.world.below(5)) {
        case 0:
          cluster.goneForGood(one);
          cluster.work(Duration{cluster.world.below(2'000'000)});
          cluster.begin(next++);
          break;
        case 1:
          cluster.begin(next++);
          cluster.work(Duration{cluster.world.below(2'000'000)});
          cluster.stop(one);
          cluster.serving.erase(one);
          break;
        case 2:
          cluster.wipe(one);
          cluster.work(Duration{cluster.world.below(2'000'000)});
          cluster.begin(one);
          break;
        case 3:
          cluster.stop(one);
          cluster.work(Duration{cluster.world.below(1'000'000)});
          cluster.begin(one);
          break;
        default:
          cluster.kill(one);
          cluster.work(Duration{cluster.world.below(3'000'000)});
          cluster.begin(one);
      }
      cluster.work(catchUp);
    }
    cluster.settle();
    require(cluster);
  }
}

TEST_CASE("five members bear two losses at every stage of a replacement") {
  for (auto offset = Duration::zero(); offset <= 5s; offset += 500ms) {
    INFO("second loss after " << milliseconds(offset).count() << " ms");
    Replacement cluster(5, 6, 23);
    cluster.goneForGood(0);
    cluster.work(900ms);
    cluster.begin(5);
    secondLoss(cluster, 2, offset, true);
    cluster.settle();
    require(cluster);
  }
}

// Members are replaced at other addresses, planned and unplanned, and a second member is lost at every stage. Guards against
// acknowledged actions that are on too few disks to survive the second loss.
//
// What must hold at every moment: each acknowledged action is synced on at least toleratedLosses + 1 disks of members, less
// the disks that were lost since and whose machines have not caught up; and the group continues once the machines that may be
// lost are back.

#include <catch2/catch.hpp>

#include <cstdio>
#include <cstdlib>

#include "tests/engine_cluster.hpp"

using namespace tamarindshift;
using namespace tamarindshift::testing;

namespace {

// after this, a started member must hold everything
constexpr Duration catchUpTime = 4s;

struct Replacement : EngineCluster {
  Replacement(std::size_t members, std::size_t slots, std::uint64_t seed) : EngineCluster(slots, seed) {
    toleratedLosses = (members - 1) / 2;
    bounds.maxGreenKept = 10;
    bounds.rewriteThresholdBytes = 10'000;
    for (std::size_t index = 0; index < members; ++index) startMember(index);
    run(3s);
    submitFor(500ms);
  }

  void startMember(std::size_t index) {
    if (founded) seeds = seedList();
    start(index);
    serving.insert(index);
    founded = founded || serving.size() >= 3;
    startedAt[index] = world.now();
  }
  /// The operator's list of seeds, which lags: members that serve, filled up to three with the machines that were lost last.
  std::set<std::size_t> seedList() const {
    auto list = serving;
    for (auto each = lostMachines.rbegin(); each != lostMachines.rend() && list.size() < 3; ++each) list.insert(*each);
    return list;
  }
  /// The machine is lost for good, and its disk with it.
  void loseMachine(std::size_t index) {
    kill(index);
    serving.erase(index);
    lostMachines.push_back(index);
    nodes[index]->disk.empty();
    lostDisks.insert(index);
  }
  void killAndEmptyDisk(std::size_t index) {
    kill(index);
    nodes[index]->disk.empty();
  }

  /// Submits updates to random members for this time and checks the copies after each.
  void submitFor(Duration duration) {
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
    std::size_t notCaughtUp = 0;
    for (auto index : serving) {
      bool recentlyStarted = startedAt.contains(index) && world.now() - startedAt.at(index) < catchUpTime;
      bool isCountedMember = isUp(index) && members.contains(nodes[index]->core->serverId());
      if (recentlyStarted || !isCountedMember) ++notCaughtUp;
      if (!isCountedMember && isUp(index)) continue;
      for (const auto& update : syncedUpdates(index)) ++copies[update];
    }
    for (const auto& [update, position] : acknowledged)
      if (copies[update] + std::max(notCaughtUp, lostDisks.size()) < toleratedLosses + 1)
        faults.push_back(update + " is synced on " + std::to_string(copies[update]) + " disks only");
  }

  void settle() {
    for (auto index : serving) start(index);
    run(8s);
    submitFor(500ms);
    run(1s);
    std::size_t primary = 0;
    for (auto index : serving) primary += isUp(index) && nodes[index]->core->engine().state() == EngineState::regPrim;
    if (primary != serving.size())
      faults.push_back("only " + std::to_string(primary) + " of " + std::to_string(serving.size()) + " are in the primary component");
    if (group().size() != serving.size()) faults.push_back("the group has " + std::to_string(group().size()) + " members");
    auto before = acknowledged.size();
    submitFor(500ms);
    if (acknowledged.size() == before) faults.push_back("no update is acknowledged at the end");
    // the other members make an action green a moment after the first one
    run(200ms);
    verify();
  }

  std::set<std::size_t> serving;
  std::vector<std::size_t> lostMachines;
  bool founded = false;
  std::set<std::size_t> lostDisks;
  std::map<std::size_t, Instant> startedAt;
};

void requireNoFaults(const Replacement& cluster) {
  if (std::getenv("ENGINE_LINES") && !cluster.faults.empty())
    for (const auto& line : cluster.logLines) std::puts(line.c_str());
  for (const auto& fault : cluster.faults) UNSCOPED_INFO(fault);
  REQUIRE(cluster.faults.empty());
}

/// Kills a member `offset` after the newcomer started, with its disk or without, and starts it again.
void secondLoss(Replacement& cluster, std::size_t second, Duration offset, bool losesDisk) {
  cluster.submitFor(offset);
  if (losesDisk)
    cluster.killAndEmptyDisk(second);
  else
    cluster.kill(second);
  cluster.submitFor(400ms);
  cluster.startMember(second);
}

}  // namespace

TEST_CASE("a second loss at any stage of an unplanned replacement loses no acknowledged update") {
  for (std::size_t lost = 0; lost < 3; ++lost)
    for (std::size_t second = 0; second < 4; ++second) {
      if (second == lost) continue;
      for (auto offset = Duration::zero(); offset <= 5s; offset += 200ms) {
        bool losesDisk = offset >= catchUpTime;
        INFO("member " << lost + 1 << " lost, then " << second + 1 << " after " << milliseconds(offset).count() << " ms, disk "
                       << (losesDisk ? "lost" : "kept"));
        Replacement cluster(3, 4, 7 + second);
        cluster.loseMachine(lost);
        cluster.submitFor(900ms);
        cluster.startMember(3);
        secondLoss(cluster, second, offset, losesDisk);
        cluster.settle();
        requireNoFaults(cluster);
      }
    }
}

namespace {

/// A newcomer has caught up, the old member stops, and another one loses its disk `offset` later.
void plannedReplacement(Replacement& cluster, std::size_t leaver, std::size_t second, Duration offset) {
  cluster.startMember(3);
  cluster.submitFor(catchUpTime);
  cluster.stop(leaver);
  cluster.serving.erase(leaver);
  secondLoss(cluster, second, offset, true);
  cluster.settle();
}

}  // namespace

TEST_CASE("a second loss at any stage of a planned replacement loses no acknowledged update, also right after the old member stopped") {
  for (std::size_t leaver = 0; leaver < 3; ++leaver)
    for (std::size_t second = 0; second < 4; ++second) {
      if (second == leaver) continue;
      for (auto offset = Duration::zero(); offset <= 2s; offset += 100ms) {
        INFO("member " << leaver + 1 << " stopped, then " << second + 1 << " lost its disk after " << milliseconds(offset).count()
                       << " ms");
        Replacement cluster(3, 4, 11 + second);
        plannedReplacement(cluster, leaver, second, offset);
        requireNoFaults(cluster);
      }
    }
}

TEST_CASE("the checks notice a member that stops without leaving the group") {
  Replacement cluster(3, 4, 12);
  cluster.leavesWhenSpare = false;
  plannedReplacement(cluster, 0, 1, 100ms);
  CHECK_FALSE(cluster.faults.empty());
}

TEST_CASE("a stopping member waits until enough others hold what it acknowledged") {
  for (std::size_t leaver = 0; leaver < 3; ++leaver) {
    Replacement cluster(3, 3, 17);
    auto other = (leaver + 1) % 3;
    auto third = (leaver + 2) % 3;
    cluster.kill(other);
    cluster.submitFor(2s);
    cluster.start(other);
    cluster.stop(leaver);
    for (const auto& [update, position] : cluster.acknowledged)
      CHECK((cluster.syncedUpdates(other).contains(update) && cluster.syncedUpdates(third).contains(update)));
    cluster.start(leaver);
    cluster.settle();
    requireNoFaults(cluster);
  }
}

TEST_CASE("members stop and are replaced at random with one machine lost at a time, and no acknowledged update is lost") {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    INFO("seed " << seed);
    Replacement cluster(3, 12, seed);
    std::size_t next = 3;
    for (int round = 0; round < 9; ++round) {
      auto member = *std::next(cluster.serving.begin(), static_cast<std::ptrdiff_t>(cluster.world.below(cluster.serving.size())));
      switch (cluster.world.below(5)) {
        case 0:
          cluster.loseMachine(member);
          cluster.submitFor(Duration{cluster.world.below(2'000'000)});
          cluster.startMember(next++);
          break;
        case 1:
          cluster.startMember(next++);
          cluster.submitFor(Duration{cluster.world.below(2'000'000)});
          cluster.stop(member);
          cluster.serving.erase(member);
          break;
        case 2:
          cluster.killAndEmptyDisk(member);
          cluster.submitFor(Duration{cluster.world.below(2'000'000)});
          cluster.startMember(member);
          break;
        case 3:
          cluster.stop(member);
          cluster.submitFor(Duration{cluster.world.below(1'000'000)});
          cluster.startMember(member);
          break;
        default:
          cluster.kill(member);
          cluster.submitFor(Duration{cluster.world.below(3'000'000)});
          cluster.startMember(member);
      }
      cluster.submitFor(catchUpTime);
    }
    cluster.settle();
    requireNoFaults(cluster);
  }
}

TEST_CASE("five members survive two losses at any stage of a replacement") {
  for (auto offset = Duration::zero(); offset <= 5s; offset += 500ms) {
    INFO("second loss after " << milliseconds(offset).count() << " ms");
    Replacement cluster(5, 6, 23);
    cluster.loseMachine(0);
    cluster.submitFor(900ms);
    cluster.startMember(5);
    secondLoss(cluster, 2, offset, true);
    cluster.settle();
    requireNoFaults(cluster);
  }
}

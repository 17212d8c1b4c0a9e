// Random schedules of crashes, cuts, message loss and freezes on the group layer alone. Guards against members that deliver
// different messages or another order, and shows that the checks detect a layer that does.

#include <catch2/catch.hpp>

#include <memory>

#include "group/sequenced_group.hpp"
#include "simulated/simulated_clock.hpp"
#include "simulated/simulated_journal.hpp"
#include "simulated/simulated_link.hpp"
#include "tests/group_history.hpp"

using namespace tamarindshift;
using namespace tamarindshift::testing;

namespace {

/// A rule of the group layer that is broken on purpose.
enum class Violation { none, acknowledgesUnsynced, changesOrder, dropsFlushedDeliveries };

class ViolatingLink : public SimulatedLink {
 public:
  ViolatingLink(SimulatedNetwork& network, Clock& clock, Address own, Violation violation)
      : SimulatedLink(network, clock, std::move(own)), world_(network.world()), violation_(violation) {}
  void pass(const Address& peer, Envelope envelope) override {
    if (violation_ == Violation::changesOrder && envelope.type == MessageType::groupOrdered && world_.chance(100))
      if (auto ordered = unpacked<GroupOrdered>(envelope.body)) {
        ordered->delivery.payload += "!";
        envelope.body = packed(*ordered);
      }
    if (violation_ == Violation::dropsFlushedDeliveries && envelope.type == MessageType::groupInstall)
      if (auto install = unpacked<GroupInstall>(envelope.body)) {
        for (auto& [view, previousView] : install->previousViews) previousView.deliveries.clear();
        envelope.body = packed(*install);
      }
    SimulatedLink::pass(peer, std::move(envelope));
  }

 private:
  World& world_;
  Violation violation_;
};

class GroupProcess : public GroupListener {
 public:
  GroupProcess(World& world, SimulatedNetwork& network, GroupHistory& history, ServerId server, std::set<Address> seeds,
               Violation violation)
      : world_(world),
        history_(history),
        process_(history.addProcess(server)),
        violation_(violation),
        clock_(world),
        journal_("group", [](const std::string&) {}),
        link_(network, clock_, server.address, violation),
        group_(clock_, link_, journal_, Member{server, Boot{world.incarnation()}}, std::move(seeds), GroupTimings{}) {
    group_.join(*this);
  }
  void submit(const std::string& payload) { group_.multicast(group_.view(), payload, true); }
  SimulatedClock& clock() { return clock_; }
  std::size_t members() const { return members_; }

  void regularConfiguration(const Configuration& configuration) override {
    members_ = configuration.members.size();
    history_.regular(process_, configuration);
  }
  void transitionalConfiguration(const std::set<ServerId>& members) override { history_.transitional(process_, members); }
  void deliver(const Delivery& delivery) override { history_.delivered(process_, delivery); }
  void received(const std::vector<Delivery>& deliveries, std::function<void()> stable) override {
    const auto& last = deliveries.back();
    for (const auto& delivery : deliveries) history_.received(process_, delivery);
    auto synced = [this, view = last.view, sequence = last.sequence] {
      history_.stable(process_, view, sequence);
    };
    Duration latency{1000 + world_.below(6000)};
    if (violation_ == Violation::acknowledgesUnsynced) {
      clock_.after(latency, synced);
      stable();
    } else {
      clock_.after(latency, [synced, stable] {
        synced();
        stable();
      });
    }
  }
  bool hasLeft(const ServerId&) const override { return false; }
  bool wantsExchange() const override { return false; }

 private:
  World& world_;
  GroupHistory& history_;
  std::size_t process_;
  Violation violation_;
  std::size_t members_ = 0;
  SimulatedClock clock_;
  SimulatedJournal journal_;
  ViolatingLink link_;
  SequencedGroup group_;
};

GroupHistory randomSchedule(std::uint64_t seed, std::size_t size, Violation violation) {
  World world(seed);
  SimulatedNetwork network(world);
  GroupHistory history;
  std::vector<std::unique_ptr<GroupProcess>> processes(size);
  std::set<Address> seeds;
  auto host = [](std::size_t index) {
    return "10.0.0." + std::to_string(index + 1);
  };
  for (std::size_t index = 0; index < size; ++index) seeds.insert(Address{host(index) + ":1"});
  auto start = [&](std::size_t index) {
    if (processes[index]) return;
    ServerId server{Address{host(index) + ":1"}, Incarnation{index + 1}};
    processes[index] = std::make_unique<GroupProcess>(world, network, history, server, seeds, violation);
  };
  auto run = [&](Duration duration) {
    world.runUntil(world.now() + duration);
  };
  std::size_t sent = 0;
  for (std::size_t index = 0; index < size; ++index) start(index);
  run(2s);
  for (int round = 0; round < 80; ++round) {
    auto node = world.below(size);
    auto other = world.below(size);
    switch (world.below(9)) {
      case 0:
        processes[node].reset();
        break;
      case 1:
      case 2:
        start(node);
        break;
      case 3:
        network.cut(host(node), host(other));
        network.cut(host(other), host(node));
        break;
      case 4:
        network.cut(host(node), host(other));
        break;
      case 5:
      case 6:
        network.healAll();
        network.lose(0);
        break;
      case 7:
        network.lose(static_cast<unsigned>(world.below(2) * 80));
        break;
      default:
        if (!processes[node]) break;
        processes[node]->clock().freeze();
        run(Duration{world.below(900'000)});
        processes[node]->clock().thaw();
    }
    for (auto amount = world.below(12); amount > 0; --amount) {
      auto sender = world.below(size);
      if (processes[sender]) processes[sender]->submit("m" + std::to_string(++sent));
      run(Duration{world.below(6'000)});
    }
    run(Duration{world.below(700'000)});
  }
  network.healAll();
  network.lose(0);
  for (std::size_t index = 0; index < size; ++index) start(index);
  run(8s);
  for (const auto& process : processes)
    if (process->members() != size) history.faults.push_back("not all are in one view at the end");
  history.verify();
  return history;
}

bool isDetected(Violation violation, const std::string& expected) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed)
    for (const auto& fault : randomSchedule(seed, 3, violation).faults)
      if (fault.find(expected) != std::string::npos) return true;
  return false;
}

}  // namespace

TEST_CASE("the group layer keeps Extended Virtual Synchrony through cuts, crashes, losses and merges") {
  std::size_t safe = 0, transitionalDeliveries = 0, commonTransitions = 0;
  for (std::size_t size : {3u, 5u})
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
      auto history = randomSchedule(seed, size, Violation::none);
      INFO("seed " << seed << " size " << size);
      for (const auto& fault : history.faults) UNSCOPED_INFO(fault);
      REQUIRE(history.faults.empty());
      safe += history.safeDeliveries;
      transitionalDeliveries += history.transitionalDeliveries;
      commonTransitions += history.commonTransitions;
    }
  CHECK(safe > 1000);
  CHECK(transitionalDeliveries > 100);
  CHECK(commonTransitions > 100);
}

TEST_CASE("the checks detect a group layer that violates its guarantees") {
  CHECK(isDetected(Violation::acknowledgesUnsynced, "not stored by"));
  CHECK(isDetected(Violation::changesOrder, "two messages at one position of a view"));
  CHECK(isDetected(Violation::dropsFlushedDeliveries, "changed view together and delivered different messages"));
}

#pragma once

#include <map>
#include <memory>
#include <set>

#include "control/member_replacement.hpp"
#include "engine/core.hpp"
#include "simulated/simulated_clock.hpp"
#include "simulated/simulated_link.hpp"
#include "simulated/simulated_store.hpp"

namespace tamarindshift::testing {

struct QuietJournal : Journal {
  explicit QuietJournal(std::function<void(const std::string&)> sink) : sink(std::move(sink)) {}
  void line(const std::string& text) override { sink(text); }
  std::function<void(const std::string&)> sink;
};

class EngineCluster;

struct ObservedApplication : Application {
  ObservedApplication(EngineCluster& cluster, std::size_t index) : cluster(cluster), index(index) {}
  EngineCluster& cluster;
  std::size_t index;
  std::vector<std::string> applied;
  std::string applyGreen(const Action& action, std::uint64_t position) override;
  std::string snapshot() const override { return packed(applied); }
  bool restore(const std::string& snapshot) override;
};

class EngineCluster {
 public:
  struct Node {
    SimulatedDisk disk;
    std::unique_ptr<SimulatedClock> clock;
    std::unique_ptr<QuietJournal> journal;
    std::unique_ptr<SimulatedLink> link;
    std::unique_ptr<SimulatedStore> store;
    std::unique_ptr<ObservedApplication> application;
    std::unique_ptr<Core> core;
    std::unique_ptr<MemberReplacement> replacement;
  };

  EngineCluster(std::size_t size, std::uint64_t seed);
  ~EngineCluster();
  void start(std::size_t index);
  void kill(std::size_t index);
  // an orderly end, as ReplicaNode::handOver does it: others hold all, a spare member leaves, the others hear of it
  void stop(std::size_t index);
  // what is on a disk and would be read after a loss of power
  std::set<std::string> synced(std::size_t index) const;
  bool up(std::size_t index) const { return nodes[index]->core != nullptr; }
  void submit(std::size_t index);
  void run(Duration duration) { world.runUntil(world.now() + duration); }
  std::string host(std::size_t index) const { return "10.0.0." + std::to_string(index + 1); }
  std::size_t primaryMemberCount() const;
  void observe(std::size_t index, std::uint64_t position, const std::string& update);
  void verify();
  void note(const std::string& text);

  std::function<std::unique_ptr<SimulatedStore>(Clock&, SimulatedDisk&)> makeStore;
  World world;
  SimulatedNetwork network;
  std::vector<std::unique_ptr<Node>> nodes;
  std::map<std::uint64_t, std::string> order;
  std::map<std::string, std::uint64_t> acknowledged;
  std::map<std::string, Instant> acknowledgedAt;
  // bytes that each update is padded with
  std::size_t paddingBytes = 0;
  std::vector<std::string> faults;
  std::vector<std::string> lines;
  std::uint64_t submitted = 0;
  EngineBounds bounds;
  // the members whose addresses a starting process is told
  std::set<std::size_t> seeds{0, 1, 2};
  // machines that may be lost at once; with 0 nobody is let go
  std::size_t losses = 0;
  // whether a member that stops leaves the group where it can be spared; taken out to see the checks notice
  bool leavesWhenSpare = true;

 private:
  Task<void> replacing(std::size_t index);
  Task<void> submitAndWait(std::size_t index, std::string update);
  std::vector<std::unique_ptr<TaskScope>> scopes_;
};

}  // namespace tamarindshift::testing

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

/// Passes log lines to a callback.
struct CallbackJournal : Journal {
  explicit CallbackJournal(std::function<void(const std::string&)> sink) : sink(std::move(sink)) {}
  void line(const std::string& text) override { sink(text); }
  std::function<void(const std::string&)> sink;
};

class EngineCluster;

/// Keeps the applied updates in order and reports each to the cluster.
struct ObservedApplication : Application {
  ObservedApplication(EngineCluster& cluster, std::size_t index) : cluster(cluster), index(index) {}
  EngineCluster& cluster;
  std::size_t index;
  std::vector<std::string> applied;
  std::string applyGreen(const Action& action, std::uint64_t position) override;
  std::string snapshot() const override { return packed(applied); }
  bool restore(const std::string& snapshot) override;
};

/// Core members on simulated time, network and disks, with checks of the order and of what was acknowledged.
class EngineCluster {
 public:
  struct Node {
    SimulatedDisk disk;
    std::unique_ptr<SimulatedClock> clock;
    std::unique_ptr<CallbackJournal> journal;
    std::unique_ptr<SimulatedLink> link;
    std::unique_ptr<SimulatedStore> store;
    std::unique_ptr<ObservedApplication> application;
    std::unique_ptr<Core> core;
    std::unique_ptr<MemberReplacement> replacement;
  };

  EngineCluster(std::size_t size, std::uint64_t seed);
  ~EngineCluster();
  void start(std::size_t index);
  /// Ends the process; its disk keeps what was synced.
  void kill(std::size_t index);
  /// Stops a member in order, as ReplicaNode::handOver does: it waits until others hold everything, leaves the group if the group
  /// can spare it, and tells the others that it ends.
  void stop(std::size_t index);
  /// The updates on a disk that would be read after a power loss.
  std::set<std::string> syncedUpdates(std::size_t index) const;
  bool isUp(std::size_t index) const { return nodes[index]->core != nullptr; }
  /// Orders a new update at this member, if it is up.
  void submit(std::size_t index);
  void run(Duration duration) { world.runUntil(world.now() + duration); }
  std::string host(std::size_t index) const { return "10.0.0." + std::to_string(index + 1); }
  /// Members in state RegPrim.
  std::size_t primaryMemberCount() const;
  void recordGreen(std::size_t index, std::uint64_t position, const std::string& update);
  /// Adds to `faults` if an update is green twice, or an acknowledged one is not in the order or missing at a member that is up.
  void verify();
  void log(const std::string& text);

  std::function<std::unique_ptr<SimulatedStore>(Clock&, SimulatedDisk&)> makeStore;
  World world;
  SimulatedNetwork network;
  std::vector<std::unique_ptr<Node>> nodes;
  /// The first update that any member had green at each position.
  std::map<std::uint64_t, std::string> greenOrder;
  /// Acknowledged updates with their positions.
  std::map<std::string, std::uint64_t> acknowledged;
  std::map<std::string, Instant> acknowledgedAt;
  /// Bytes by which each update is padded.
  std::size_t paddingBytes = 0;
  std::vector<std::string> faults;
  std::vector<std::string> logLines;
  std::uint64_t submitted = 0;
  EngineBounds bounds;
  /// The members whose addresses a starting process gets as seeds.
  std::set<std::size_t> seeds{0, 1, 2};
  /// Machines that may be lost at once; with 0 no member is removed or leaves.
  std::size_t toleratedLosses = 0;
  /// Whether a stopping member leaves the group where it can be spared; false to see that the checks notice it.
  bool leavesWhenSpare = true;

 private:
  Task<void> replaceMembers(std::size_t index);
  Task<void> submitAndWait(std::size_t index, std::string update);
  std::vector<std::unique_ptr<TaskScope>> scopes_;
};

}  // namespace tamarindshift::testing

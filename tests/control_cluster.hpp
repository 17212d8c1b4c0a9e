#pragma once

#include <memory>

#include "control/replica_node.hpp"
#include "simulated/simulated_clock.hpp"
#include "simulated/simulated_journal.hpp"
#include "simulated/simulated_link.hpp"
#include "simulated/simulated_store.hpp"
#include "tests/scripted_databases.hpp"

namespace tamarindshift {

/// Three replicas on simulated time, with databases that behave as a test sets them and one node that sends `report`.
/// The service of most tests is "s1".
class ControlCluster {
 public:
  explicit ControlCluster(bool rations = false);
  ~ControlCluster();

  void run(Duration duration) { world.runUntil(world.now() + duration); }
  /// Runs until the condition holds, for `atMost` at most; whether it holds then.
  bool runUntil(Duration atMost, const std::function<bool()>& reached);
  /// Runs until the task has its reply.
  DoorReply awaitReply(Task<DoorReply> task);
  /// Applies a plan whose only service is "s1", given as JSON.
  void applyPlan(std::uint64_t mark, const std::string& service);
  /// The JSON of a service whose databases are discovered by their heartbeats.
  std::string discoveredService(std::uint32_t syncReplicas) const;
  /// Starts a database of "s1" whose log ends at this position of epoch 3. "d1" gets the address 10.2.0.1:1, and so on.
  void startDatabase(const std::string& name, const std::string& role, Position position);
  ReplicaNode& replica(std::size_t index) { return *replicas[index]; }
  const ServiceState& service() { return replica(0).state().services().at(ServiceName{"s1"}); }
  bool promoted(const std::string& name) { return service().promoted && service().primary == DatabaseName{name}; }
  /// The sum of a counter over all replicas.
  std::uint64_t counterSum(const std::string& name);

  World world;
  SimulatedNetwork network;
  SimulatedClock testClock;
  ScriptedDatabases databases;
  std::vector<std::unique_ptr<SimulatedClock>> replicaClocks;
  std::vector<std::unique_ptr<SimulatedJournal>> journals;
  std::vector<std::unique_ptr<SimulatedLink>> links;
  std::vector<SimulatedDisk> disks;
  std::vector<std::unique_ptr<SimulatedStore>> stores;
  std::vector<std::unique_ptr<ReplicaNode>> replicas;
  SimulatedLink nodeLink;
  Desk nodeDesk;
  NodeReport report;
  /// Whether the node sends its report to all replicas, every 50 ms.
  bool sendsReports = true;
  /// Whether the report says that the node follows the newest epoch and position.
  bool followsUpdates = true;
  TaskScope scope;

 private:
  Task<void> sendReports();
};

}  // namespace tamarindshift

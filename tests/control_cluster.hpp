#pragma once

#include <memory>

#include "control/replica_node.hpp"
#include "simulated/simulated_clock.hpp"
#include "simulated/simulated_journal.hpp"
#include "simulated/simulated_link.hpp"
#include "simulated/simulated_store.hpp"
#include "tests/scripted_databases.hpp"

namespace tamarindshift {

// three replicas, databases that do what a test says, and one node that reports what a test says
class ControlCluster {
 public:
  explicit ControlCluster(bool rations = false);
  ~ControlCluster();

  void run(Duration duration) { world.runUntil(world.now() + duration); }
  bool runUntil(Duration atMost, const std::function<bool()>& reached);
  DoorReply ask(Task<DoorReply> task);
  void plan(std::uint64_t mark, const std::string& service);
  std::string discovered(std::uint32_t syncReplicas) const;
  void start(const std::string& name, const std::string& role, Position position);
  ReplicaNode& replica(std::size_t index) { return *nodes[index]; }
  const ServiceState& service() { return replica(0).state().services().at(ServiceName{"s1"}); }
  bool promoted(const std::string& name) { return service().promoted && service().primary == DatabaseName{name}; }
  std::uint64_t counted(const std::string& name);

  World world;
  SimulatedNetwork network;
  SimulatedClock outside;
  ScriptedDatabases databases;
  std::vector<std::unique_ptr<SimulatedClock>> ownClocks;
  std::vector<std::unique_ptr<SimulatedJournal>> journals;
  std::vector<std::unique_ptr<SimulatedLink>> links;
  std::vector<SimulatedDisk> disks;
  std::vector<std::unique_ptr<SimulatedStore>> stores;
  std::vector<std::unique_ptr<ReplicaNode>> nodes;
  SimulatedLink nodeLink;
  Desk nodeDesk;
  NodeReport report;
  bool reports = true;
  bool follows = true;
  TaskScope scope;

 private:
  Task<void> reporting();
};

}  // namespace tamarindshift

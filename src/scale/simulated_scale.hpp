#pragma once

#include "control/operator_api.hpp"
#include "proxy/json_database_control.hpp"
#include "scale/distant_link.hpp"
#include "scale/hollow_node.hpp"
#include "scale/scale_plan.hpp"
#include "simulated/simulated_clock.hpp"
#include "simulated/simulated_journal.hpp"
#include "simulated/simulated_store.hpp"
#include "simulated/simulated_web.hpp"
#include "simulated/standin_platform.hpp"

namespace tamarindshift {

// replicas and hollow nodes of several regions on simulated time
class SimulatedScale {
 public:
  SimulatedScale(ScaleShape shape, std::uint64_t seed, Duration betweenRegions);
  ~SimulatedScale();

  void run(Duration duration) { world_.runUntil(world_.now() + duration); }
  bool runUntil(const std::function<bool()>& reached, Duration patience);
  Instant now() const { return world_.now(); }
  bool sendPlan(std::uint64_t mark);
  bool start();

  Traffic nodeTraffic() const;
  Traffic replicaTraffic() const;
  std::size_t leased() const;
  std::size_t leased(std::size_t region) const;
  bool orders() const;
  std::optional<std::size_t> onDuty() const;
  void killReplica(std::size_t index);
  void crashDatabase(std::size_t service, std::size_t number);
  void cutRegions(std::size_t left, std::size_t right, bool cut);
  std::size_t zoneOf(std::size_t index) const { return index % addresses_.shape.zones; }
  std::size_t regionOf(std::size_t index) const { return addresses_.shape.regionOfZone(zoneOf(index)); }
  const ScaleAddresses& addresses() const { return addresses_; }
  const std::vector<std::unique_ptr<HollowNode>>& nodes() const { return nodes_; }
  const ReplicaNode* replica(std::size_t index) const { return replicas_[index]->node.get(); }
  const SimulatedDisk& disk(std::size_t index) const { return replicas_[index]->disk; }

 private:
  struct Replica {
    SimulatedDisk disk;
    std::unique_ptr<SimulatedLink> link;
    Traffic traffic;
    std::unique_ptr<MeteredLink> metered;
    std::unique_ptr<SimulatedStore> store;
    std::unique_ptr<ReplicaNode> node;
    std::unique_ptr<OperatorApi> door;
  };
  std::size_t regionOf(const Address& address) const;
  Duration way(const Address& from, const Address& to) const;
  std::unique_ptr<SimulatedLink> link(const Address& own);
  std::vector<std::string> hostsOf(std::size_t region) const;
  Task<void> send(std::string text);

  ScaleAddresses addresses_;
  Duration betweenRegions_;
  World world_;
  SimulatedNetwork network_;
  SimulatedWeb web_;
  SimulatedClock clock_;
  SimulatedJournal journal_;
  SimulatedWebLink outside_;
  JsonDatabaseControl databaseControl_;
  std::unique_ptr<StandinPlatform> platform_;
  std::vector<std::unique_ptr<Replica>> replicas_;
  std::map<Address, std::unique_ptr<StandinDatabase>> databases_;
  std::vector<std::unique_ptr<SimulatedLink>> links_;
  std::vector<std::unique_ptr<HollowNode>> nodes_;
  std::map<Address, std::size_t> regions_;
  int lastStatus_ = 0;
  TaskScope scope_;
};

}  // namespace tamarindshift

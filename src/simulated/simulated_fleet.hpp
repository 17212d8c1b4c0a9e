#pragma once

#include <memory>

#include "control/operator_api.hpp"
#include "edge/session_door.hpp"
#include "updates/agent_node.hpp"
#include "proxy/json_database_control.hpp"
#include "simulated/availability.hpp"
#include "simulated/fleet_shape.hpp"
#include "simulated/plan_asks.hpp"
#include "simulated/simulated_clock.hpp"
#include "simulated/simulated_journal.hpp"
#include "simulated/simulated_link.hpp"
#include "simulated/simulated_store.hpp"
#include "simulated/simulated_web.hpp"
#include "simulated/standin_database.hpp"
#include "simulated/standin_plan.hpp"
#include "simulated/standin_platform.hpp"

namespace tamarindshift {

class SimulatedFleet {
 public:
  SimulatedFleet(FleetShape shape, std::uint64_t seed);
  ~SimulatedFleet();

  World& world() { return world_; }
  SimulatedNetwork& network() { return network_; }
  SimulatedWeb& web() { return web_; }
  StandinPlatform& platform() { return *platform_; }
  StandinCallers& callers() { return *callers_; }
  const FleetShape& shape() const { return shape_; }

  struct Replica {
    std::string host;
    SimulatedDisk disk;
    std::unique_ptr<SimulatedClock> clock;
    std::unique_ptr<SimulatedJournal> journal;
    std::unique_ptr<SimulatedLink> link;
    std::unique_ptr<SimulatedStore> store;
    std::unique_ptr<SimulatedWebLink> web;
    std::unique_ptr<JsonDatabaseControl> databases;
    std::unique_ptr<ReplicaNode> node;
    std::unique_ptr<OperatorApi> door;
  };
  struct Machine {
    std::string host;
    Zone zone;
    std::unique_ptr<SimulatedClock> clock;
    std::unique_ptr<SimulatedJournal> journal;
    std::unique_ptr<SimulatedLink> agentLink;
    std::unique_ptr<SimulatedLink> proxyLink;
    std::unique_ptr<SimulatedWebLink> web;
    std::unique_ptr<AgentNode> agent;
    std::unique_ptr<ProxyNode> proxy;
    std::unique_ptr<SessionDoor> door;
    std::size_t unansweredAtStop = 0;
    PlanVersion lastMark;
  };
  struct Database {
    std::size_t service = 0;
    std::size_t number = 0;
    std::string host;
    StandinDatabaseSettings settings;
    std::unique_ptr<SimulatedClock> clock;
    std::unique_ptr<SimulatedJournal> journal;
    std::unique_ptr<SimulatedWebLink> web;
    std::unique_ptr<StandinDatabase> node;
    StandinDatabaseDisk disk;
    std::vector<StandinHistoryEntry> history;
    struct Leave {
      Instant at{};
      Instant back = Instant::max();
    };
    std::vector<Leave> leaves;
    std::vector<StandinOpening> openings;
    std::uint64_t overCap = 0;
  };

  std::vector<std::unique_ptr<Replica>>& replicas() { return replicas_; }
  std::vector<std::unique_ptr<Machine>>& machines() { return machines_; }
  std::vector<std::unique_ptr<Database>>& databases() { return databases_; }
  Database& database(std::size_t service, std::size_t number);
  bool current(const Database& database);
  Availability& availability() { return availability_; }

  void startReplica(std::size_t index, std::size_t diskLatencyFactor = 1);
  void killReplica(std::size_t index);
  void startMachine(std::size_t index);
  void killMachine(std::size_t index);
  void stopMachine(std::size_t index);
  void stopReplica(std::size_t index);
  void addMachine();
  void startDatabase(Database& database);
  void crashDatabase(Database& database);
  void leaveDatabase(Database& database);
  void returnDatabase(Database& database);
  void replaceDatabase(std::size_t service, std::size_t number);
  void sendPlan(std::size_t replica, std::uint64_t mark, std::string text, bool sound);
  std::string planText(const StandinPlanChoice& choice);
  void run(Duration duration) { world_.runUntil(world_.now() + duration); }
  void runUntil(Instant until) { world_.runUntil(until); }
  Instant start() const { return start_; }
  const PlanAsks& plans() const { return plans_; }
  const std::vector<std::string>& lines() const { return lines_; }
  const std::vector<std::string>& slips() const { return slips_; }
  std::map<std::string, std::uint64_t> counters() const;
  std::size_t primaryComponents() const;

 private:
  std::function<void(const std::string&)> sink();
  Task<void> ask(std::size_t replica, std::size_t index);
  Task<void> stopWhenDone(std::size_t index);
  Task<void> stopReplicaWhenDone(std::size_t index);
  void killProxy(Machine& machine);
  Task<void> detach(Database& database);
  Task<void> probe();
  void probeMachines();
  void probeCaps();
  void probeAbility();
  bool able(std::size_t service);
  bool linked(const std::string& left, const std::string& right) const;
  void addDatabase(std::size_t service, std::size_t number, const std::string& host, bool primary);
  void slip(std::string text);
  std::uint64_t entropy() { return world_.below(std::uint64_t{1} << 62) + 1; }
  void keepHistory(Database& database);
  Address seed(std::size_t index) const;

  FleetShape shape_;
  World world_;
  SimulatedNetwork network_;
  SimulatedWeb web_;
  std::vector<std::string> lines_;
  std::vector<std::string> slips_;
  PlanAsks plans_;
  Availability availability_;
  Instant start_;
  SimulatedClock clock_;
  SimulatedJournal journal_;
  SimulatedWebLink outside_;
  std::unique_ptr<StandinPlatform> platform_;
  std::vector<std::unique_ptr<Replica>> replicas_;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::vector<std::unique_ptr<Database>> databases_;
  std::unique_ptr<StandinCallers> callers_;
  std::map<std::string, std::uint64_t> ended_;
  TaskScope scope_;
};

}  // namespace tamarindshift

#pragma once

#include "tests/platform/broken_rule.hpp"
#include "tests/platform/platform_process.hpp"
#include "tests/platform/reach_table.hpp"
#include "tests/platform/simulated_database_fabric.hpp"
#include "tests/platform/standin_database_host.hpp"
#include "tests/platform/standin_operator.hpp"
#include "tests/platform/standin_promotion_api.hpp"
#include "tests/platform/standin_wire_clients.hpp"

namespace tamarindshift::testing {

// machines, services, clients and operators of a day; services count from 1, databases and machines by name
class PlatformWorld {
 public:
  using ProgramFactory = std::function<std::unique_ptr<PlatformProgram>(PlatformProcess&)>;
  PlatformWorld(PlatformShape shape, std::uint64_t seed, ProgramFactory factory);
  ~PlatformWorld();

  World& world() { return world_; }
  SimulatedNetwork& network() { return network_; }
  PlatformHistory& history() { return history_; }
  const PlatformShape& shape() const { return shape_; }
  Instant start() const { return start_; }
  void run(Duration duration) { world_.runUntil(world_.now() + duration); }
  void runUntil(Duration sinceStart) { world_.runUntil(start_ + sinceStart); }
  // clients stop, what was configured is read back, and the rules are checked
  std::vector<BrokenRule> finish();
  // of all kinds of work, or of one by its place in the shape
  double served(Duration from, Duration until, std::optional<std::size_t> kind = std::nullopt) const;
  const std::vector<std::string>& lines() const { return lines_; }

  // machines
  PlatformMachine& machine(const std::string& name);
  PlatformProcess* process(const std::string& name);
  const std::map<std::string, PlatformMachine>& machines() const { return machines_; }
  void startMachine(const std::string& name);
  void killProcess(const std::string& name);
  void losePower(const std::string& name);
  void loseDisk(const std::string& name);
  void terminate(const std::string& name);
  void freeze(const std::string& name, bool frozen);
  void slow(const std::string& name, Duration delay);
  void hangUp(const std::string& name);
  void resetConnections(const std::string& name, unsigned perThousand);
  void addAccess();
  // an empty machine at another address takes the place of one that ends for good, by SIGTERM or without power
  void replaceCore(const std::string& name, bool planned, Duration after);
  void slowDisk(const std::string& name, Duration sync);

  // hosts of machines or databases
  void cut(const std::string& left, const std::string& right);
  void heal(const std::string& left, const std::string& right);
  std::string hostOf(const std::string& name);

  // databases
  StandinWireService& service(std::size_t number) { return *services_.at(number - 1); }
  StandinDatabaseHost& database(std::size_t service, std::size_t number) { return *databases_.at({service, number}); }
  StandinDatabaseHost* primary(std::size_t service);
  std::vector<StandinDatabaseHost*> replicas(std::size_t service);
  void dark(StandinDatabaseHost& database, bool dark);
  void release(StandinDatabaseHost& database);

  // clients, operators and the platform
  StandinWireClients& clients() { return *clients_; }
  StandinOperator& operatorNumber(std::size_t index) { return *operators_.at(index); }
  StandinPromotionApi& promotionApi() { return promotionApi_; }
  PlatformConfiguration& configuration() { return configuration_; }
  // the present configuration under a higher revision
  void configure(std::size_t operatorIndex = 0);
  // sessions at each node for a database that a configuration adds or removes
  void visit(const PlatformRoute& route);
  void closingFault(bool losesPower, std::size_t disksLost, Duration down);

 private:
  void addMachine(const std::string& name, bool core, std::size_t index);
  void addService(std::size_t number);
  void addKinds(std::size_t service);
  std::vector<Address> controlNodes() const;
  void endProcess(const std::string& name, bool silent);
  void restartLater(const std::string& name);
  // by itself, in this life
  void ended(const std::string& name, std::size_t life);
  void stopProcess(const std::string& name, std::function<void()> then);
  void removeMachine(const std::string& name);
  std::vector<Address> seeds() const;
  bool coreSettled() const;
  void coreEvent(const std::string& name);
  void slowed(const std::string& key, const std::string& name, bool slowed);
  void beginTrouble(const std::string& key, const std::string& host);
  void endTrouble(const std::string& key);
  std::string freshDatabase();
  std::function<void(const std::string&)> sink();

  PlatformShape shape_;
  ProgramFactory factory_;
  World world_;
  SimulatedNetwork network_{world_};
  SimulatedLineNetwork lineNetwork_{network_};
  SimulatedDatabaseFabric fabric_{lineNetwork_};
  SimulatedWeb web_{network_};
  ReachTable reach_{network_};
  PlatformHistory history_;
  std::vector<std::string> lines_;
  Instant start_;
  SimulatedClock clock_{world_};
  SimulatedWebLink platformWeb_{web_, clock_, Address{"10.200.0.1:0"}};
  SimulatedWebLink operatorWeb_{web_, clock_, Address{"10.7.0.1:0"}};
  SimulatedLineLink clientLines_{lineNetwork_, clock_, Address{"10.9.0.1:0"}};
  StandinPromotionApi promotionApi_;
  StandinEntry entry_{clock_, platformWeb_};
  std::map<std::string, PlatformMachine> machines_;
  std::map<std::string, std::unique_ptr<PlatformProcess>> processes_;
  std::vector<std::unique_ptr<StandinWireService>> services_;
  std::map<std::pair<std::size_t, std::size_t>, std::unique_ptr<StandinDatabaseHost>> databases_;
  std::map<std::string, std::size_t> troubles_;
  PlatformConfiguration configuration_;
  std::vector<std::unique_ptr<StandinOperator>> operators_;
  std::unique_ptr<StandinWireClients> clients_;
};

}  // namespace tamarindshift::testing

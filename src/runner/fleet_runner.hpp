#pragma once

#include "real/daemon.hpp"
#include "runner/child_process.hpp"
#include "runner/fleet_script.hpp"
#include "runner/relay.hpp"
#include "simulated/fleet_shape.hpp"
#include "simulated/standin_callers.hpp"
#include "simulated/standin_database.hpp"

namespace tamarindshift {

class FleetRunner {
 public:
  FleetRunner(Daemon& daemon, FleetShape shape, FleetScript script, std::string binaries, std::string folder, std::uint64_t seed);
  Task<void> run();
  bool ended() const { return ended_; }
  const std::vector<std::string>& faults() const { return faults_; }

 private:
  struct Process {
    std::string name;
    std::vector<Address> addresses;
    std::string program;
    std::vector<std::string> arguments;
    std::string data;
    std::unique_ptr<ChildProcess> child;
  };

  Address freePort();
  void layOut();
  void addProcess(std::string name, std::string program, std::vector<Address> addresses, std::vector<std::string> arguments,
                  std::string data = {});
  void planRelays();
  void startAll();
  void start(Process& process);
  Process* find(const std::string& name);
  Task<bool> act(std::vector<std::string> words);
  Task<bool> sendPlan(std::uint64_t mark, std::size_t replica);
  Task<bool> waitReady();
  Task<void> judge();
  Task<void> collectKept();
  std::optional<Duration> servedAfter(const std::string& kind, Duration after) const;
  bool allServing() const;
  void expect(const std::vector<std::string>& words);
  void say(const std::string& text);
  void fault(const std::string& text);
  std::vector<std::string> participants(const std::string& name) const;

  Daemon& daemon_;
  FleetShape shape_;
  FleetScript script_;
  std::string binaries_;
  std::string folder_;
  std::uint64_t seed_;
  std::vector<std::unique_ptr<boost::asio::ip::tcp::acceptor>> reserved_;
  Address platform_;
  std::vector<Address> replicaDoors_;
  std::vector<Address> proxyDoors_;
  std::vector<StandinDatabaseSettings> databases_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::map<std::pair<std::string, std::string>, std::vector<std::unique_ptr<Relay>>> relays_;
  std::map<std::string, Detours> detours_;
  std::unique_ptr<StandinCallers> callers_;
  std::map<ServiceName, std::map<std::string, std::string>> kept_;
  std::uint64_t highestMark_ = 0;
  Instant startedAt_{};
  std::vector<std::string> faults_;
  bool ended_ = false;
};

}  // namespace tamarindshift

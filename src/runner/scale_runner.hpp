#pragma once

#include "real/daemon.hpp"
#include "runner/child_process.hpp"
#include "scale/figure_rows.hpp"
#include "scale/process_figures.hpp"
#include "scale/scale_plan.hpp"
#include "scale/scale_settings.hpp"
#include "scale/traffic.hpp"

namespace tamarindshift {

// one point of a scale run: real replicas, a few real machines, hollow nodes and databases as processes
class ScaleRunner {
 public:
  ScaleRunner(Daemon& daemon, ScaleSettings settings, std::string binaries);
  Task<void> run();
  bool ended() const { return ended_; }
  const std::vector<std::string>& faults() const { return faults_; }
  const Figures& figures() const { return figures_; }

 private:
  enum class Role { replica, agent, proxy, hollow, database, platform };
  struct Process {
    Role role{};
    std::unique_ptr<ChildProcess> child;
  };
  struct Sample {
    Instant at{};
    std::vector<ProcessFigures> processes;
    MachineFigures machine;
    Traffic traffic;
    std::size_t hollow = 0;
    std::size_t leased = 0;
  };

  void add(Role role, const std::string& name, const std::string& program, std::vector<std::string> arguments);
  std::vector<std::string> shapeArguments() const;
  std::string replicaFolder(std::size_t index) const { return settings_.folder + "/replica-" + std::to_string(index + 1); }
  void layOut();
  void note(const std::string& name, double value) { figures_.emplace_back(name, value); }
  void fault(std::string text);
  std::vector<Process*> all(Role role);
  Task<std::optional<std::string>> ask(Address address, std::string method, std::string path, std::string body, Duration patience);
  Task<bool> sendPlan(std::uint64_t mark);
  Task<bool> waitLeased();
  Task<Sample> sample();
  Task<void> window();
  void noteWindow(const Sample& before, const Sample& after);
  Task<void> watch(std::string body);
  Task<std::vector<Duration>> watched(Instant since, Duration patience);
  void noteTimes(const std::string& name, std::vector<Duration> times, std::size_t whole);
  Task<void> planEvent();
  Task<void> primaryEvent();
  Task<void> joinEvent();
  Task<void> restartEvent();
  Task<void> clients();
  Task<double> openSessions(std::size_t upTo);
  Task<void> statements(std::size_t perSecond, Duration duration);
  Task<void> oneStatement(std::size_t session);
  Task<bool> waitReady(Address door, Duration patience);
  Task<double> greenLine();
  double logBytes() const;

  Daemon& daemon_;
  ScaleSettings settings_;
  std::string binaries_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::size_t hosts_ = 0;
  Figures figures_;
  struct Client {
    std::unique_ptr<WebConnection> connection;
    std::string session;
    bool busy = false;
  };
  std::vector<Client> clients_;
  std::size_t statementsDone_ = 0;
  std::size_t statementsFailed_ = 0;
  std::vector<std::string> faults_;
  bool ended_ = false;
  TaskScope scope_;
};

}  // namespace tamarindshift

#pragma once

#include <istream>
#include <map>
#include <memory>

#include "simulated/never_list.hpp"

namespace tamarindshift {

class Scenario {
 public:
  bool load(const std::string& path);
  bool read(std::istream& text, const std::string& name);
  bool run(std::uint64_t seed);
  const std::string& lastReason() const { return reason_; }
  const std::vector<std::string>& faults() const { return faults_; }
  const std::vector<std::string>& lines() const { return lines_; }
  const std::string& summary() const { return summary_; }

 private:
  using Words = std::vector<std::string>;
  struct Event {
    Duration at{};
    Words words;
    std::size_t line = 0;
  };
  bool readLine(const Words& words, std::size_t line);
  struct Waiting {
    ServiceName service;
    Duration from{};
    Duration until{};
  };
  bool act(SimulatedFleet& fleet, const Words& words);
  void noteDisturbance(SimulatedFleet& fleet, const Words& words);
  bool actOnReplica(SimulatedFleet& fleet, const std::string& verb, std::size_t index);
  bool actOnMachine(SimulatedFleet& fleet, const std::string& verb, std::size_t index);
  bool actOnDatabase(SimulatedFleet& fleet, const Words& words);
  bool actOnPlan(SimulatedFleet& fleet, const Words& words);
  void expect(SimulatedFleet& fleet, const Words& words);
  void summarize(SimulatedFleet& fleet);
  bool fail(const std::string& reason);

  FleetShape shape_;
  std::vector<Event> events_;
  std::vector<Words> expectations_;
  std::vector<Waiting> waits_;
  std::set<ServiceName> down_;
  std::size_t windows_ = 0;
  std::size_t runs_ = 0;
  Duration until_ = 20s;
  std::string reason_;
  std::vector<std::string> faults_;
  std::vector<std::string> lines_;
  std::string summary_;
};

}  // namespace tamarindshift

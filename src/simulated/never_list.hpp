#pragma once

#include "simulated/history_checks.hpp"
#include "simulated/simulated_fleet.hpp"

namespace tamarindshift {

class NeverList {
 public:
  explicit NeverList(SimulatedFleet& fleet) : fleet_(fleet) {}
  std::vector<std::string> check();

 private:
  void gatherHistories();
  KeptData kept() const;
  void textsUnchanged();
  void leftAlone();
  void plansHeld();
  void capsHeld();
  void stopsAnswered();
  void fault(std::string text);
  std::string clockText(Instant at) const;

  SimulatedFleet& fleet_;
  std::map<std::string, std::vector<StandinHistoryEntry>> histories_;
  std::vector<std::string> faults_;
};

}  // namespace tamarindshift

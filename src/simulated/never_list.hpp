#pragma once

#include "simulated/session_checks.hpp"
#include "simulated/simulated_fleet.hpp"

namespace tamarindshift {

class NeverList {
 public:
  explicit NeverList(SimulatedFleet& fleet) : fleet_(fleet) {}
  void excuseStaysDown(const ServiceName& service) { down_.insert(service); }
  std::vector<std::string> check();
  std::size_t windows() const { return windows_; }
  std::size_t runs() const { return runs_; }

 private:
  void gatherHistories();
  KeptData kept();
  const std::map<std::string, std::string>* primaryData(const ServiceName& service) const;
  const std::map<std::string, std::string>* bestCopy(const ServiceName& service) const;
  void sessionsApart();
  void backInTime();
  void leftAlone();
  void plansHeld();
  void capsHeld();
  void stopsAnswered();
  void fault(std::string text);
  std::string clockText(Instant at) const;

  SimulatedFleet& fleet_;
  DatabaseHistories histories_;
  std::set<ServiceName> down_;
  std::size_t windows_ = 0;
  std::size_t runs_ = 0;
  std::map<std::string, std::size_t> ofKind_;
  std::vector<std::string> faults_;
};

}  // namespace tamarindshift

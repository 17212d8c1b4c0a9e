#pragma once

#include <set>

#include "simulated/simulated_network.hpp"

namespace tamarindshift::testing {

// which hosts are dark and which pairs are cut, laid upon the network together
class ReachTable {
 public:
  explicit ReachTable(SimulatedNetwork& network) : network_(network) {}
  void add(const std::string& host) { hosts_.insert(host); }
  void dark(const std::string& host, bool dark);
  void cut(const std::string& from, const std::string& to);
  void heal(const std::string& from, const std::string& to);

 private:
  void lay();
  SimulatedNetwork& network_;
  std::set<std::string> hosts_;
  std::set<std::string> dark_;
  std::set<std::pair<std::string, std::string>> cuts_;
};

}  // namespace tamarindshift::testing

#pragma once

#include "edge/line_keeper.hpp"
#include "simulated/line_faults.hpp"
#include "simulated/simulated_line.hpp"
#include "simulated/simulated_network.hpp"

namespace tamarindshift {

class SimulatedLineLink;

// cuts are those of the SimulatedNetwork; a host without power is silent as well
class SimulatedLineNetwork {
 public:
  explicit SimulatedLineNetwork(SimulatedNetwork& network) : network_(network) {}
  SimulatedNetwork& network() { return network_; }
  World& world() { return network_.world(); }
  void powerOff(const std::string& host) { unpowered_.insert(host); }
  void powerOn(const std::string& host) { unpowered_.erase(host); }
  void faults(const Address& address, LineFaults faults) { faults_[address] = faults; }
  void resetConnections(const std::string& host, unsigned perThousand);
  bool reaches(const Address& from, const Address& to) const;
  std::uint64_t opened(const Address& address) const;

 private:
  friend class SimulatedLineLink;
  friend class SimulatedLineConnection;

  using Line = std::shared_ptr<SimulatedLine>;
  void send(const Line& line, std::size_t from, LineEvent event, std::string bytes);
  void deliver(const Line& line, std::size_t from, Duration retry);
  void arrive(const Line& line, std::size_t from, SimulatedLine::Chunk chunk);
  void write(const Line& line, std::size_t from, std::string bytes);
  void finish(const Line& line, std::size_t from);
  void reset(const Line& line, std::size_t from);
  void vanish(const Line& line, std::size_t end);
  const LineFaults* faultsOf(const Line& line) const;

  SimulatedNetwork& network_;
  std::map<Address, SimulatedLineLink*> listeners_;
  std::map<Address, std::uint64_t> opened_;
  std::map<Address, LineFaults> faults_;
  std::set<std::string> unpowered_;
  std::set<SimulatedLineLink*> links_;
};

}  // namespace tamarindshift

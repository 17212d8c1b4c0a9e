#pragma once

#include <map>
#include <set>

#include "base/address.hpp"
#include "simulated/world.hpp"
#include "wire/envelope.hpp"

namespace tamarindshift {

class SimulatedLink;

class SimulatedNetwork {
 public:
  explicit SimulatedNetwork(World& world) : world_(world) {}
  void attach(const Address& address, SimulatedLink& link) { links_[address] = &link; }
  void detach(const Address& address) { links_.erase(address); }
  void pass(const Address& from, const Address& to, Envelope envelope);
  void cut(const Address& from, const Address& to) { cuts_.insert({from, to}); }
  void heal(const Address& from, const Address& to) { cuts_.erase({from, to}); }
  void healAll() { cuts_.clear(); }
  bool connected(const Address& from, const Address& to) const { return !cuts_.contains({from, to}); }
  void lose(unsigned perThousand) { loss_ = perThousand; }
  void delay(Duration delay) { delay_ = delay; }
  Duration latency();

 private:
  World& world_;
  std::map<Address, SimulatedLink*> links_;
  std::set<std::pair<Address, Address>> cuts_;
  std::map<std::pair<Address, Address>, Instant> lastArrival_;
  unsigned loss_ = 0;
  Duration delay_{500};
};

}  // namespace tamarindshift

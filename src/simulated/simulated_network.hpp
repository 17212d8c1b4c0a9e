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
  World& world() { return world_; }
  void attach(const Address& address, SimulatedLink& link) { links_[address] = &link; }
  void detach(const Address& address) { links_.erase(address); }
  void pass(const Address& from, const Address& to, Envelope envelope);
  void cut(const std::string& fromHost, const std::string& toHost) { cuts_.insert({fromHost, toHost}); }
  void heal(const std::string& fromHost, const std::string& toHost) { cuts_.erase({fromHost, toHost}); }
  void healAll() { cuts_.clear(); }
  bool connected(const Address& from, const Address& to) const { return !cuts_.contains({host(from), host(to)}); }
  void lose(unsigned perThousand) { loss_ = perThousand; }
  void delay(Duration delay) { delay_ = delay; }
  std::uint64_t passed() const { return passed_; }
  /// Bytes that were given to the network, also those that were lost.
  std::uint64_t passedBytes() const { return passedBytes_; }
  Duration latency() { return delay_ + Duration{world_.below(static_cast<std::uint64_t>(delay_.count()) + 1)}; }
  static std::string host(const Address& address) { return address.get().substr(0, address.get().find(':')); }

 private:
  void refuse(const Address& from, const Address& to);

  World& world_;
  std::map<Address, SimulatedLink*> links_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::map<std::pair<Address, Address>, Instant> lastArrival_;
  unsigned loss_ = 0;
  std::uint64_t passed_ = 0;
  std::uint64_t passedBytes_ = 0;
  Duration delay_{500};
};

}  // namespace tamarindshift

#pragma once

#include <string>

#include "base/address.hpp"
#include "base/time.hpp"
#include "simulated/simulated_disk.hpp"

namespace tamarindshift::testing {

struct PlatformMachine {
  std::string name;
  std::string host;
  std::string zone;
  bool core = false;
  bool firstStart = true;
  bool powered = true;
  bool frozen = false;
  // taken away for good
  bool gone = false;
  // when the operator and databases learn of it, and when they forget it
  Instant listedFrom{};
  Instant listedUntil = Instant::max();
  std::size_t lives = 0;
  SimulatedDisk disk;  // of core machines

  Address at(int port) const { return Address{host + ":" + std::to_string(port)}; }
  Address control() const { return at(8782); }
  Address front() const { return at(8784); }
  Address readiness() const { return at(8785); }
  static constexpr int internalPort = 7440;
  Address internal() const { return at(internalPort); }
};

}  // namespace tamarindshift::testing

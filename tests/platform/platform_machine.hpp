#pragma once

#include <string>

#include "base/address.hpp"
#include "simulated/simulated_disk.hpp"

namespace tamarindshift::testing {

struct PlatformMachine {
  std::string name;
  std::string host;
  std::string zone;
  bool core = false;
  bool firstStart = true;
  bool powered = true;
  std::size_t lives = 0;
  SimulatedDisk disk;  // of core machines

  Address at(int port) const { return Address{host + ":" + std::to_string(port)}; }
  Address control() const { return at(8782); }
  Address front() const { return at(8784); }
  Address readiness() const { return at(8785); }
  Address internal(int offset = 0) const { return at(7440 + offset); }
};

}  // namespace tamarindshift::testing

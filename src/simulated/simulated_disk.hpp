#pragma once

#include <string>
#include <vector>

namespace tamarindshift {

struct SimulatedDisk {
  std::vector<std::string> synced;
  std::vector<std::string> unsynced;
  void crash() { unsynced.clear(); }
  void empty() {
    synced.clear();
    unsynced.clear();
  }
};

}  // namespace tamarindshift

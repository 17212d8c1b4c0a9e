#pragma once

#include <string>

#include "base/address.hpp"
#include "base/time.hpp"

namespace tamarindshift::testing {

struct StandinWireDatabaseSettings {
  std::string service;
  std::string id;
  Address address;
  std::string zone = "zone-1";
  std::size_t slots = 10;
  std::size_t queue = 80;
  std::size_t trunkLimit = 120;
  Duration newConnection = 12ms;
  Duration read = 8ms;
  Duration write = 8ms;
  Duration commit = 4ms;
  Duration status = 500us;
  Duration lag = 20ms;
  Duration darkDropped = 3s;
  // values and names laid inside a transaction go with its rollback
  bool rollbackForgets = false;
};

}  // namespace tamarindshift::testing

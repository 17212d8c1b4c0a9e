#pragma once

#include <vector>

#include "tests/platform/client_kind.hpp"
#include "tests/platform/platform_bounds.hpp"
#include "tests/platform/standin_wire_database_settings.hpp"

namespace tamarindshift::testing {

struct PlatformShape {
  std::size_t zones = 3;
  std::size_t access = 3;
  std::size_t core = 3;
  std::size_t services = 3;
  std::size_t databases = 3;
  bool syncReplicas = false;
  StandinWireDatabaseSettings database;  // slots, work, lag and bounds of each
  std::vector<ClientKind> kinds;         // for each service; hostName and zone are filled in
  Duration lead = 10s;
  Duration diskSync = 2ms;
  Duration restart = 500ms;
  std::size_t dutyRate = 50;
  std::size_t losses = 1;
  PlatformBounds bounds;
};

}  // namespace tamarindshift::testing

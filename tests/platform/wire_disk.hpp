#pragma once

#include "tests/platform/wire_log.hpp"

namespace tamarindshift::testing {

// what a database finds again when it starts
struct WireDisk {
  WireLog log;
  std::uint64_t term = 1;
  bool demoted = false;
};

}  // namespace tamarindshift::testing

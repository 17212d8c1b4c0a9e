#pragma once

#include <map>

#include "base/time.hpp"
#include "tests/platform/wire_position.hpp"

namespace tamarindshift::testing {

struct WireLogEntry {
  WirePosition position;
  std::map<std::string, std::string> writes;
  Instant keptAt{};
};

}  // namespace tamarindshift::testing

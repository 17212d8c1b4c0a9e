#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "tests/platform/wire_position.hpp"

namespace tamarindshift::testing {

enum class WireEnd { complete, error, closed, silent };

struct WireReply {
  WireEnd end = WireEnd::closed;
  std::string code;
  std::string stamp;
  std::vector<std::string> rows;
  char state = '?';
  std::optional<WirePosition> position;
  Instant at{};
};

bool promisesNothingKept(const std::string& code);

}  // namespace tamarindshift::testing

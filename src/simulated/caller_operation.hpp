#pragma once

#include <set>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "control/names.hpp"

namespace tamarindshift {

struct CallerOperation {
  std::size_t caller = 0;
  KindName kind;
  std::vector<std::string> tokens;
  std::string key;
  bool reads = false;
  Instant startedAt{};
  Instant endedAt{};
  std::string outcome;
  std::string reason;
  std::string result;
  std::set<std::string> ownBefore;
};

}  // namespace tamarindshift

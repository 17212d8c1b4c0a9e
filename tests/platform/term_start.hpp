#pragma once

#include <string>

#include "base/time.hpp"

namespace tamarindshift::testing {

// `number` is the last one of the earlier terms that the new term keeps
struct TermStart {
  std::string service;
  std::string database;
  std::uint64_t term = 0;
  std::uint64_t number = 0;
  Instant at{};
};

}  // namespace tamarindshift::testing

#pragma once

#include <optional>
#include <string>

#include "base/time.hpp"

namespace tamarindshift::testing {

// `number` is the last one of the earlier terms that the new term keeps, `keptTerm` the term that it was written in
struct TermStart {
  std::string service;
  std::string database;
  std::uint64_t term = 0;
  std::uint64_t number = 0;
  Instant at{};
  std::optional<std::uint64_t> keptTerm = std::nullopt;
};

}  // namespace tamarindshift::testing

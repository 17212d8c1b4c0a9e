#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "tests/platform/wire_statement.hpp"

namespace tamarindshift::testing {

// a statement as a database saw it
struct DatabaseRun {
  std::string service;
  std::string database;
  std::uint64_t connection = 0;
  std::string id;
  std::string text;
  std::string effect;  // READ thing, WRITE thing data, or the text
  WireVerb verb = WireVerb::read;
  bool writes = false;
  std::uint64_t transaction = 0;
  Instant arrivedAt{};
  Instant endedAt{};
  bool ran = false;
  WirePosition log;
  std::map<std::string, std::string> values;
  std::string shape;
  std::string answer;  // COMPLETE or the code of the error
  std::string stamp;
  std::vector<std::string> rows;
  std::optional<WirePosition> kept;
  Instant keptAt{};
  bool brokenOff = false;  // the database lost the answer
};

}  // namespace tamarindshift::testing

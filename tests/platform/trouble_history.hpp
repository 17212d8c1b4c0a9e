#pragma once

#include <string>
#include <vector>

#include "base/address.hpp"
#include "base/time.hpp"

namespace tamarindshift::testing {

struct Trouble {
  std::string host;  // empty: everywhere
  Instant from{};
  Instant until{};
};

struct PlannedStop {
  std::string host;  // empty: of a core machine
  Instant at{};
};

struct ProcessStart {
  std::string host;
  Instant at{};
};

struct TroubleHistory {
  std::vector<Trouble> troubles;
  std::vector<PlannedStop> stops;
  std::vector<ProcessStart> starts;
  // no trouble at the host of this address within the time
  bool calm(const Address& node, Instant from, Instant until) const;
  // calm, and neither stopped nor started
  bool inTouch(const Address& node, Instant from, Instant until) const;
};

}  // namespace tamarindshift::testing

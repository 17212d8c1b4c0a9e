#pragma once

#include "base/time.hpp"
#include "tests/platform/route_class.hpp"

namespace tamarindshift::testing {

// the shares are per thousand operations
struct ClientKind {
  std::string hostName;
  std::string zone = "zone-1";
  RouteClass routeClass = RouteClass::primary;
  Duration staleness{};
  unsigned precedence = 1;
  std::size_t sessions = 4;
  bool singleOperation = false;
  Duration pause = 100ms;
  Duration deadline = 2s;
  std::size_t furtherTries = 2;
  unsigned writes = 200;
  unsigned transactions = 400;
  unsigned names = 300;
  unsigned rollBacks = 80;
  unsigned leaves = 5;
  std::size_t things = 50;
  std::size_t mostSteps = 10;
  Duration stepPause = 10ms;
  bool oneIdPerTry = false;
};

}  // namespace tamarindshift::testing

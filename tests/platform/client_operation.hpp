#pragma once

#include <string>

#include "base/time.hpp"

namespace tamarindshift::testing {

struct ClientOperation {
  std::string hostName;
  std::string zone;
  Instant beganAt{};
  Instant endedAt{};
  Duration paused{};
  std::size_t tries = 0;
  bool ended = false;
  bool served = false;
  bool left = false;
  // asked directly at one node, and earning nothing
  bool visits = false;
};

}  // namespace tamarindshift::testing

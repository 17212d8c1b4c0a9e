#pragma once

#include "base/address.hpp"
#include "base/timings.hpp"

namespace tamarindshift {

struct ProxySettings {
  Address agent;
  Address node;
  Timings timings;
  std::size_t queue = 200;
  std::size_t sessions = 5000;
  std::uint32_t mostAttempts = 3;
  Duration idleInTransaction = 10s;
  Duration idleSession = 1800s;
};

}  // namespace tamarindshift

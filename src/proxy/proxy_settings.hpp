// Settings of a proxy.
#pragma once

#include "base/address.hpp"
#include "base/timings.hpp"

namespace tamarindshift {

struct ProxySettings {
  /// The agent of this machine, which the proxy follows and reports to.
  Address agent;
  /// The address under which this node is known to the control plane.
  Address node;
  Timings timings;
  /// Bound on waiting requests, per branch of a service.
  std::size_t maxQueued = 200;
  std::size_t maxSessions = 5000;
  /// Bound on the databases that a request is sent to, one after the other.
  std::uint32_t maxAttempts = 3;
  /// A transaction without a request for this long is rolled back by closing its connection.
  Duration idleTransactionTimeout = 10s;
  /// A session without a request for this long is closed.
  Duration idleSessionTimeout = 1800s;
};

}  // namespace tamarindshift

/// Settings of the pooler.
#pragma once

#include "base/address.hpp"
#include "base/timings.hpp"

namespace tamarindshift {

struct PoolerSettings {
  /// The node's own address towards the control plane.
  Address node;
  Zone zone;
  Timings timings;
  std::size_t maxSessions = 20000;
  /// Statements that may wait for a connection.
  std::size_t maxWaiting = 2000;
  /// A database with running work that sends nothing for this long is suspected.
  Duration suspicionTimeout = 300ms;
  /// Lower bound of the time given to one attempt of a repeatable statement.
  Duration minAttemptTimeout = 250ms;
  /// How long running work may finish at the old primary after a planned change.
  Duration plannedChangeGrace = 250ms;
  /// How long a new session waits for the routes to become known.
  Duration routeWaitTimeout = 1s;
  /// A node without leases for longer than this, and without a reply of the replicas for twice as long, counts as cut off.
  Duration cutOffAfter = 400ms;
  /// Statements wait as usual for a lease that lapsed no longer ago than this.
  Duration lapseTolerance = 500ms;
  /// After that a statement waits only for this percentage of its timeout, so that all retries of a client together stay
  /// far from the client's deadline.
  int lapsedWaitPercent = 15;
  /// How long a draining node goes on accepting sessions and statements.
  Duration drainServingTime = 2200ms;
};

}  // namespace tamarindshift

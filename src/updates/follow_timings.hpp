// Timeouts of an update follower.
#pragma once

#include "base/timings.hpp"

namespace tamarindshift {

/// Timeouts and bounds of an `UpdateFollower`.
struct FollowTimings {
  /// A source from which no byte of a reply has come for this long is treated as silent.
  Duration silenceTimeout = 600ms;
  /// Pause after a failed request, times the number of failed requests in a row, up to 3.
  Duration retryPause = 50ms;
  /// The first source of a topic is tried again after this time.
  Duration returnToFirst = 5s;
  /// Whether to request what databases report of themselves.
  bool databaseReports = true;
  /// The list of sources of a topic is read again after this time.
  Duration sourcesMaxAge = 500ms;
  /// Database reports of a topic are requested for this long after a caller last read them.
  Duration reportsWantedFor = 5s;
  /// Bound on the whole reply, even if bytes of it keep arriving.
  Duration maxReplyTime = 15s;
  /// Bound on a lease, counted from the time at which its source replied.
  Duration maxLease = Duration::max();

  /// The timings of a node's follower; `databaseReports`: whether to request what databases report of themselves.
  static FollowTimings of(const Timings& timings, bool databaseReports = true) {
    FollowTimings follow;
    follow.silenceTimeout = timings.newsPatience;
    follow.databaseReports = databaseReports;
    follow.maxLease = timings.lease;
    return follow;
  }
};

}  // namespace tamarindshift

#pragma once

#include "base/timings.hpp"

namespace tamarindshift {

/// How long a follower of news waits.
struct FollowTimings {
  /// Without any byte of a reply for this long, a source is left.
  Duration patience = 600ms;
  Duration pause = 50ms;
  Duration returnToFirst = 5s;
  bool signs = true;
  Duration sourcesKept = 500ms;
  // how long signs are asked for after somebody looked at them
  Duration signsKept = 5s;
  /// A reply that keeps arriving is waited for this long.
  Duration longestReply = 15s;
  /// No lease lasts longer from the moment in which its source answered.
  Duration longestLease = Duration::max();

  /// What a node with these timings follows with; `signs` says whether it also keeps what databases tell of themselves.
  static FollowTimings of(const Timings& timings, bool signs = true) {
    FollowTimings follow;
    follow.patience = timings.newsPatience;
    follow.signs = signs;
    follow.longestLease = timings.lease;
    return follow;
  }
};

}  // namespace tamarindshift

#pragma once

#include <functional>
#include <string>

#include "base/journal.hpp"
#include "base/time.hpp"

namespace tamarindshift {

/// What is true at the moment in which the success of a statement is reported to its client.
struct AcknowledgementFacts {
  /// Says which statement and which database; asked for only where the invariant is violated.
  std::function<std::string()> context = [] {
    return std::string{};
  };
  /// Whether it keeps something; nothing is promised by the success of a read.
  bool makesDurable = false;
  bool leased = true;
  /// The database is still the primary of the epoch that is followed, or finishes work before a planned change.
  bool inEpoch = true;
};

/// Checks that a kept write is reported as done only under a lease and in the epoch it was sent in.
void checkAcknowledgement(Journal& journal, const AcknowledgementFacts& facts);

/// When a statement came, ended, and had to end.
struct StatementTimes {
  Instant arrivedAt{};
  Instant endedAt{};
  /// Instant::max() if it is not bounded.
  Instant deadline = Instant::max();
  /// Whether the process stood still meanwhile, so that its timers came late.
  bool stalled = false;
};

/// Checks that a statement ended within its bound, give or take the lateness of timers.
void checkAnsweredInTime(Journal& journal, const StatementTimes& times, const std::function<std::string()>& context);

}  // namespace tamarindshift

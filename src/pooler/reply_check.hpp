/// Invariants checked when a statement ends: a write is acknowledged only under a lease, and every statement is answered in time.
#pragma once

#include <functional>
#include <string>

#include "base/journal.hpp"
#include "base/time.hpp"

namespace tamarindshift {

/// The state at the moment at which the success of a statement is reported to its client.
struct AcknowledgementFacts {
  /// Names the statement and the database; called only if the invariant is violated.
  std::function<std::string()> context = [] {
    return std::string{};
  };
  /// Whether the statement makes a write durable; the success of a read promises nothing.
  bool makesDurable = false;
  bool leased = true;
  /// Whether the database is the primary of the current epoch, or is finishing work before a planned change of primary.
  bool inEpoch = true;
};

/// Checks that a durable write is acknowledged only under a lease and in the epoch in which it was sent.
void checkAcknowledgement(Journal& journal, const AcknowledgementFacts& facts);

struct StatementTimes {
  Instant arrivedAt{};
  Instant endedAt{};
  /// Instant::max() if there is no bound.
  Instant deadline = Instant::max();
  /// Whether the process was stalled meanwhile, so that its timers fired late.
  bool stalled = false;
};

/// Checks that a statement was answered by its deadline, with some slack for late timers.
void checkAnsweredInTime(Journal& journal, const StatementTimes& times, const std::function<std::string()>& context);

}  // namespace tamarindshift

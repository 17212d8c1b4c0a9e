#pragma once

#include <functional>
#include <optional>
#include <string>

#include "base/journal.hpp"
#include "base/time.hpp"

namespace tamarindshift {

/// What is true at the moment in which a statement of a client goes to a database.
struct SendingFacts {
  /// Says which statement and which database; asked for only where an invariant is violated.
  std::function<std::string()> context = [] {
    return std::string{};
  };
  bool heldBySession = true;
  /// Work of the client, as against what the pooler lays on a connection or takes back from it.
  bool clientWork = true;
  bool makesDurable = false;
  bool mayHaveRunBefore = false;
  bool leased = true;
  bool asPrimary = false;
  /// The database is the primary of the epoch that is followed, or finishes work before a planned change.
  bool inEpoch = true;
  /// Whether it is the first statement of its transaction, or stands alone.
  bool begins = true;
  /// How long the database has been known to be drained, if it is.
  std::optional<Duration> drainedFor;
};

/// Checks the invariants of sending; `drainTime` is how long work may still go to a database that leaves.
void checkSending(Journal& journal, const SendingFacts& facts, Duration drainTime);

}  // namespace tamarindshift

/// Invariants checked before a statement of a client is sent to a database.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "base/journal.hpp"
#include "base/time.hpp"

namespace tamarindshift {

/// The state at the moment at which a statement of a client is sent to a database.
struct SendingFacts {
  /// Names the statement and the database; called only if an invariant is violated.
  std::function<std::string()> context = [] {
    return std::string{};
  };
  bool heldBySession = true;
  /// Whether it is the client's own work, as opposed to session state that the pooler sets on a connection or removes from it.
  bool clientWork = true;
  bool makesDurable = false;
  bool mayHaveRunBefore = false;
  bool leased = true;
  bool asPrimary = false;
  /// Whether the database is the primary of the current epoch, or is finishing work before a planned change of primary.
  bool inEpoch = true;
  /// Whether it is the first statement of its transaction, or a single statement.
  bool begins = true;
  /// How long the database has been known to be drained, if it is.
  std::optional<Duration> drainedFor;
};

/// Checks the invariants of sending; `drainTime` is how long new work may still go to a database that is being drained.
void checkSending(Journal& journal, const SendingFacts& facts, Duration drainTime);

}  // namespace tamarindshift

#pragma once

#include <algorithm>

#include "base/time.hpp"
#include "proxy/database_messages.hpp"

namespace tamarindshift {

/// Decides from a database's STATUS whether the requested promotion has taken effect.
///
/// The role alone is no proof: a former primary goes on reporting "primary" until the new term begins. The proof is a
/// term above every term that had a primary before.
class PromotionProof {
 public:
  /// `termWhenChosen`: the term that the database reported before it was chosen; `lastLedTerm`: the newest term known to
  /// have had a primary. The call was accepted at `acceptedAt` and takes effect within `effectTimeout`, if it changes anything.
  PromotionProof(Epoch termWhenChosen, Epoch lastLedTerm, Instant acceptedAt, Duration effectTimeout)
      : termWhenChosen_(termWhenChosen), lastLedTerm_(lastLedTerm), settledAt_(acceptedAt + effectTimeout) {}

  /// Whether a STATUS that was requested at `askedAt` proves that the database is primary by this promotion.
  bool confirmedBy(const DatabaseStatus& standing, Instant askedAt) const {
    if (standing.role != "primary") return false;
    if (standing.term > std::max(termWhenChosen_, lastLedTerm_)) return true;
    // promoting a database that is primary already changes nothing, so its term does not rise
    bool settled = askedAt >= settledAt_;
    return settled && (standing.term > termWhenChosen_ || standing.term >= lastLedTerm_);
  }

 private:
  Epoch termWhenChosen_;
  Epoch lastLedTerm_;
  Instant settledAt_;
};

}  // namespace tamarindshift

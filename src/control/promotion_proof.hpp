#pragma once

#include <algorithm>

#include "base/time.hpp"
#include "proxy/database_messages.hpp"

namespace tamarindshift {

/// Tells from a database's STATUS whether the promotion that was asked for has taken effect.
///
/// A role alone proves nothing: a former primary goes on saying "primary" until the new term begins. What proves the
/// promotion is a term above all that led before.
class PromotionProof {
 public:
  /// `whenChosen` is the term that the database told before it was chosen, `lastLed` the newest term known to have led.
  /// The call was taken at `acceptedAt` and takes effect within `effectWithin`, if it changes anything.
  PromotionProof(Epoch whenChosen, Epoch lastLed, Instant acceptedAt, Duration effectWithin)
      : whenChosen_(whenChosen), lastLed_(lastLed), settledAt_(acceptedAt + effectWithin) {}

  /// Whether a STATUS that was asked for at `askedAt` shows that the database leads by this promotion.
  bool shownBy(const DatabaseStatus& standing, Instant askedAt) const {
    if (standing.role != "primary") return false;
    if (standing.term > std::max(whenChosen_, lastLed_)) return true;
    // the promotion of a database that leads already changes nothing, so its term does not rise
    bool settled = askedAt >= settledAt_;
    return settled && (standing.term > whenChosen_ || standing.term >= lastLed_);
  }

 private:
  Epoch whenChosen_;
  Epoch lastLed_;
  Instant settledAt_;
};

}  // namespace tamarindshift

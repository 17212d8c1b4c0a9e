#pragma once

#include "base/journal.hpp"
#include "control/plan.hpp"

namespace tamarindshift {

/// Remembers the configuration version that was looked at last and checks that it never goes back.
class PlanVersionCheck {
 public:
  explicit PlanVersionCheck(Journal& journal) : journal_(journal) {}

  /// Looks at the version held now and returns whether it is the same as at the last look.
  bool note(PlanVersion version) {
    journal_.check(Invariant::planNeverGoesBack, version >= seen_, [&] {
      return "version " + std::to_string(version.get()) + " is held after " + std::to_string(seen_.get());
    });
    bool same = version == seen_;
    seen_ = version;
    return same;
  }

 private:
  Journal& journal_;
  PlanVersion seen_;
};

}  // namespace tamarindshift

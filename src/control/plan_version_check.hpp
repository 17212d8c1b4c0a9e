#pragma once

#include "base/journal.hpp"
#include "control/plan.hpp"

namespace tamarindshift {

/// Checks that the configuration version that a process holds never decreases.
class PlanVersionCheck {
 public:
  explicit PlanVersionCheck(Journal& journal) : journal_(journal) {}

  /// Checks the version that is held now and returns whether it is the same as at the last call.
  bool observe(PlanVersion version) {
    journal_.check(Invariant::planNeverGoesBack, version >= last_, [&] {
      return "configuration version " + std::to_string(version.get()) + " follows version " + std::to_string(last_.get());
    });
    bool same = version == last_;
    last_ = version;
    return same;
  }

 private:
  Journal& journal_;
  PlanVersion last_;
};

}  // namespace tamarindshift

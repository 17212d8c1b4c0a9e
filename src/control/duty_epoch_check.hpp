#pragma once

#include <algorithm>
#include <cstdint>

#include "base/journal.hpp"

namespace tamarindshift {

/// Remembers the fences that calls to the platform carried and checks that they never fall.
class DutyEpochCheck {
 public:
  explicit DutyEpochCheck(Journal& journal) : journal_(journal) {}

  /// A call with `fence` goes out now; `onDuty` says whether this node still holds the duties.
  void note(std::uint64_t fence, bool onDuty) {
    journal_.check(Invariant::dutyEpochNeverFalls, onDuty && fence >= used_, [&] {
      return "the platform is called with " + std::to_string(fence) + " after " + std::to_string(used_) +
             (onDuty ? "" : " by a node that holds no duties");
    });
    used_ = std::max(used_, fence);
  }

 private:
  Journal& journal_;
  std::uint64_t used_ = 0;
};

}  // namespace tamarindshift

#pragma once

#include <algorithm>
#include <cstdint>

#include "base/journal.hpp"

namespace tamarindshift {

/// Checks that the fence numbers of calls to the platform never decrease and that only the member on duty calls.
class DutyEpochCheck {
 public:
  explicit DutyEpochCheck(Journal& journal) : journal_(journal) {}

  /// To be called right before a call with `fence` is sent; `onDuty` says whether this member still holds the duties.
  void observe(std::uint64_t fence, bool onDuty) {
    journal_.check(Invariant::dutyEpochNeverFalls, onDuty && fence >= highestUsed_, [&] {
      return "call to the platform with fence number " + std::to_string(fence) + " after fence number " + std::to_string(highestUsed_) +
             (onDuty ? "" : " by a member that is not on duty");
    });
    highestUsed_ = std::max(highestUsed_, fence);
  }

 private:
  Journal& journal_;
  std::uint64_t highestUsed_ = 0;
};

}  // namespace tamarindshift

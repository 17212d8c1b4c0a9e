#pragma once

#include <vector>

#include "control/plan_fault.hpp"
#include "control/version_ledger.hpp"
#include "edge/door.hpp"

namespace tamarindshift {

/// How an order of a configuration ended at the member that was asked.
enum class PlanFate : std::uint8_t {
  notTaken,  ///< nothing was ordered: no primary component here, or the member leaves; send it again
  unknown,   ///< it may still come into force; send the same again
  broken,    ///< it cannot be read; `faults` say where
  judged,    ///< the log has it; `verdict` says what it did
};

struct PlanResult {
  PlanFate fate = PlanFate::notTaken;
  PlanVerdict verdict = PlanVerdict::broken;
  PlanMark version;
  /// The version in force at this member when the order ended.
  PlanMark held;
  /// Position of the order in the green order.
  std::uint64_t position = 0;
  std::vector<PlanFault> faults;
};

/// The reply of our own administration API to `PUT /plan`.
DoorReply planReply(const PlanResult& result, Duration comeBack);

}  // namespace tamarindshift

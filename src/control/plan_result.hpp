#pragma once

#include <vector>

#include "control/plan_fault.hpp"
#include "control/plan_version_history.hpp"
#include "edge/door.hpp"

namespace tamarindshift {

/// How an order of a configuration ended at the member that was asked.
enum class PlanOutcome : std::uint8_t {
  notOrdered,  ///< nothing was ordered: no primary component here, or the member leaves; send it again
  unknown,     ///< it may still come into force; send the same again
  broken,      ///< it cannot be read; `faults` say where
  ordered,     ///< the log has it; `verdict` says what it did
};

struct PlanResult {
  PlanOutcome outcome = PlanOutcome::notOrdered;
  PlanVerdict verdict = PlanVerdict::broken;
  PlanVersion version;
  /// The version in force at this member when the order ended.
  PlanVersion held;
  /// Position of the order in the green order.
  std::uint64_t position = 0;
  std::vector<PlanFault> faults;
};

/// The reply of our own administration API to `PUT /plan`.
DoorReply planReply(const PlanResult& result, Duration comeBack);

}  // namespace tamarindshift

#pragma once

// Outcome of a new plan and its HTTP reply.

#include <vector>

#include "control/plan_fault.hpp"
#include "control/plan_version_history.hpp"
#include "edge/door.hpp"

namespace tamarindshift {

/// Outcome of ordering a plan at the member that received it.
enum class PlanOutcome : std::uint8_t {
  notOrdered,  ///< nothing was ordered: no primary component, or the member is draining; safe to send again
  unknown,     ///< the plan may still come into force; send the same plan again
  broken,      ///< the plan is not valid; `faults` say where
  ordered,     ///< the plan is in the log; `verdict` holds the result
};

struct PlanResult {
  PlanOutcome outcome = PlanOutcome::notOrdered;
  PlanVerdict verdict = PlanVerdict::broken;
  PlanVersion version;
  /// The version in force at this member when the order completed.
  PlanVersion held;
  /// Position of the plan's action in the green order.
  std::uint64_t position = 0;
  std::vector<PlanFault> faults;
};

/// The reply of the operator API to `PUT /plan`. `comeBack`: the retry interval given with temporary refusals.
DoorReply planReply(const PlanResult& result, Duration comeBack);

}  // namespace tamarindshift

#pragma once

#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "control/plan.hpp"

namespace tamarindshift {

/// Result of checking a plan before it is sent to a fleet.
struct PlanCheck {
  /// Services, kinds and machines that the plan adds, alters or removes.
  std::vector<std::string> changes;
  /// Conditions that an operator should know and that do not keep the plan from working.
  std::vector<std::string> warnings;
  /// Reasons why the plan does not fit the plan in force or the fleet.
  std::vector<std::string> errors;
};

/// Compares a plan with the plan in force, if any, and with the fleet that `status` (a replica's /status) describes; `status`
/// is ignored if it is not an object.
PlanCheck checkPlan(const Plan& plan, const std::optional<Plan>& current, const nlohmann::json& status);

}  // namespace tamarindshift

#pragma once

#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "control/plan.hpp"

namespace tamarindshift {

struct PlanCheck {
  std::vector<std::string> changes;
  std::vector<std::string> warnings;
  std::vector<std::string> errors;
};

PlanCheck checkPlan(const Plan& plan, const std::optional<Plan>& held, const nlohmann::json& status);

}  // namespace tamarindshift

#pragma once

#include "control/control_command.hpp"
#include "control/report_messages.hpp"

namespace tamarindshift {

using Wanted = std::map<Address, std::map<BranchName, std::uint32_t>>;

using Weights = std::map<Address, std::uint32_t>;

// shares are compared for their weight in whole numbers
constexpr std::uint64_t shareScale = 1'000'000;

Grants cutShares(const PlanService& service, const Wanted& wanted, const Weights& weights);
PlanService without(PlanService service, const Grants& reserved);
Grants lowered(const Grants& held, const Grants& target);

}  // namespace tamarindshift

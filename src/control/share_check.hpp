#pragma once

#include "base/journal.hpp"
#include "control/control_state.hpp"

namespace tamarindshift {

/// Checks for each branch of a service that granted and reserved connections together are within its cap. It sums
/// independently of the code that computes and applies shares.
void checkSharesWithinBranches(Journal& journal, const ServiceName& name, const PlanService& planned, const ServiceState& service);

}  // namespace tamarindshift

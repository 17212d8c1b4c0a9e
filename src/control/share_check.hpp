#pragma once

#include "base/journal.hpp"
#include "control/control_state.hpp"

namespace tamarindshift {

/// Checks for each branch of a service that what nodes hold of it, granted and reserved, is within its cap. It sums by
/// itself, apart from the code that cuts and applies shares.
void checkSharesWithinBranches(Journal& journal, const ServiceName& name, const PlanService& planned, const ServiceState& service);

}  // namespace tamarindshift

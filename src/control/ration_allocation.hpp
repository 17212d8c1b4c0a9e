#pragma once

#include <optional>

#include "control/ration.hpp"
#include "control/share_allocation.hpp"

namespace tamarindshift {

using DemandsByNode = std::map<Address, DemandByOrder>;

/// Computes the ration of a database that can keep `budget` connections busy, or nothing if no order has to be limited.
///
/// Orders are served in turn until the budget is used up; the first order is never limited. The rest of the budget, at least
/// one connection, is divided among the nodes with later work in proportion to their weights. Among nodes that are level,
/// those that got nothing in `before` go first.
std::optional<Ration> allocateRation(std::uint32_t budget, const DemandsByNode& demands, const NodeWeights& weights, const Ration& before);

}  // namespace tamarindshift

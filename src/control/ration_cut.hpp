#pragma once

#include <optional>

#include "control/ration.hpp"
#include "control/share_cut.hpp"

namespace tamarindshift {

using NodeDemands = std::map<Address, OrderedDemand>;

// Orders are served in turn until `budget` running connections are given; the first is never held. Nothing where all fits.
// What is left, at least one connection, goes to later work by weight, first to nodes that `before` left out.
std::optional<Ration> cutRation(std::uint32_t budget, const NodeDemands& demands, const Weights& weights, const Ration& before);

}  // namespace tamarindshift

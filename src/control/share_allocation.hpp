#pragma once

#include "control/report_messages.hpp"
#include "control/control_command.hpp"

namespace tamarindshift {

/// Connections that each node asks for, by branch.
using WantedShares = std::map<Address, std::map<BranchName, std::uint32_t>>;

/// Weights of nodes; a node that is not named has weight 1.
using NodeWeights = std::map<Address, std::uint32_t>;

/// Factor that keeps the ratio of a share to its node's weight a whole number of sufficient resolution.
constexpr std::uint64_t weightScale = 1'000'000;

/// Divides the connections of each branch among the nodes of `wanted`: first the branch's floor to every node, then to nodes
/// below what they ask for, then to all, always to the node with the lowest ratio of share to weight.
Grants allocateShares(const PlanService& service, const WantedShares& wanted, const NodeWeights& weights);
/// The service with the reserved connections taken off its branches.
PlanService withoutReserved(PlanService service, const Grants& reserved);
/// The lower of both amounts for each branch of each node that both name; all others are left out.
Grants lowerGrants(const Grants& held, const Grants& target);

}  // namespace tamarindshift

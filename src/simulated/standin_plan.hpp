#pragma once

#include "simulated/fleet_shape.hpp"
#include "simulated/standin_database.hpp"

namespace tamarindshift {

std::string standinPlan(const FleetShape& shape, const std::vector<StandinDatabaseSettings>& databases, std::uint64_t mark,
                        const std::set<std::string>& without = {}, std::uint32_t firstPart = 60);

}  // namespace tamarindshift

#pragma once

#include <optional>
#include <string>

#include "simulated/fleet_shape.hpp"

namespace tamarindshift {

std::optional<FleetShape> deploymentNamed(const std::string& name);

}  // namespace tamarindshift

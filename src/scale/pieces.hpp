#pragma once

#include <string>
#include <utility>
#include <vector>

#include "scale/scale_shape.hpp"

namespace tamarindshift {

// sizes and processor times of single steps of the control plane at one size, without a fleet
using PieceFigures = std::vector<std::pair<std::string, double>>;
PieceFigures measurePieces(const ScaleShape& shape);

}  // namespace tamarindshift

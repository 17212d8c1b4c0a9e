#pragma once

#include "scale/figure_rows.hpp"
#include "scale/scale_settings.hpp"

namespace tamarindshift {

Figures simulatedCounts(const ScaleSettings& settings);
Figures simulatedLosses(const ScaleSettings& settings);

}  // namespace tamarindshift

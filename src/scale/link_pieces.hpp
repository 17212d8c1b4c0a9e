#pragma once

#include "scale/figure_rows.hpp"
#include "scale/scale_settings.hpp"

namespace tamarindshift {

// processor time of one ask for all topics with its reply, and of one report, over two real links in one process: both ends together
Figures measureLinkPieces(const ScaleSettings& settings, std::size_t reportBytes);

}  // namespace tamarindshift

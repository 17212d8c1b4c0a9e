#pragma once

#include <vector>

#include "base/setting_kinds.hpp"
#include "base/timings.hpp"

namespace tamarindshift {

std::vector<Setting> timingSettings(Timings& timings);

}  // namespace tamarindshift

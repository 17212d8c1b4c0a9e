#pragma once

#include <optional>
#include <string>

#include "base/time.hpp"

namespace tamarindshift {

std::optional<Duration> durationText(const std::string& text);

}  // namespace tamarindshift

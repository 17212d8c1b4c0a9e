#pragma once

#include "edge/door.hpp"

namespace tamarindshift {

DoorReply refusal(int status, const std::string& reason, const std::string& detail = {}, std::optional<Duration> comeBack = std::nullopt);

}  // namespace tamarindshift

#pragma once

#include "edge/door.hpp"

namespace tamarindshift {

DoorReply refusal(int status, const std::string& reason, const std::string& detail = {}, std::optional<Duration> comeBack = std::nullopt);

/// A page of metrics as scrapers of the Prometheus text format read it.
DoorReply metricsReply(std::string page);

}  // namespace tamarindshift

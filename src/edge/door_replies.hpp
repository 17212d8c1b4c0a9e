#pragma once

#include <nlohmann/json_fwd.hpp>

#include "edge/door.hpp"

namespace tamarindshift {

DoorReply refusal(int status, const std::string& reason, const std::string& detail = {}, std::optional<Duration> comeBack = std::nullopt);

/// A page for operators. Bytes that are no text are shown as replaced, never thrown on.
DoorReply pageReply(const nlohmann::json& page);

/// A page of metrics as scrapers of the Prometheus text format read it.
DoorReply metricsReply(std::string page);

}  // namespace tamarindshift

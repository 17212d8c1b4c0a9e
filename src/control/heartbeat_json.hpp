#pragma once

#include <optional>
#include <string>

#include "control/report_messages.hpp"

namespace tamarindshift {

std::optional<DatabaseHeartbeat> heartbeatFromJson(const std::string& body);
std::string heartbeatToJson(const DatabaseHeartbeat& heartbeat);

}  // namespace tamarindshift

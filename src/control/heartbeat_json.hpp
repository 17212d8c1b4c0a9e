#pragma once

#include <optional>
#include <string>

#include "control/report_messages.hpp"

namespace tamarindshift {

/// Parses the body of a heartbeat or Detach request. Nothing if it is not JSON, a field is missing or has a wrong type, the
/// role is neither primary nor replica, or the address is malformed.
std::optional<DatabaseHeartbeat> heartbeatFromJson(const std::string& body);
/// The inverse of heartbeatFromJson; the address, zone and capacity are left out if the address is empty.
std::string heartbeatToJson(const DatabaseHeartbeat& heartbeat);

}  // namespace tamarindshift

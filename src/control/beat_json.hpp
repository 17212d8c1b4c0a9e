#pragma once

#include <optional>
#include <string>

#include "control/access_messages.hpp"

namespace tamarindshift {

std::optional<DatabaseBeat> beatFromJson(const std::string& body);
std::string beatToJson(const DatabaseBeat& beat);

}  // namespace tamarindshift

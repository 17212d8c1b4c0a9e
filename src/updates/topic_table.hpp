#pragma once

#include <map>
#include <string>

namespace tamarindshift {

using Topic = std::string;
using TopicTable = std::map<std::string, std::string>;

inline const Topic fleetTopic = "fleet";

// entries under this prefix are of the plan, change with it alone, and may be many
inline const std::string planPrefix = "plan-";

// entries under this prefix concern the node that is named behind it
inline const std::string sharePrefix = "share/";
/// Begins the key of a node in the fleet's table.
inline const std::string nodePrefix = "node/";

}  // namespace tamarindshift

#pragma once

#include <map>
#include <string>

namespace tamarindshift {

using Topic = std::string;
using NewsTable = std::map<std::string, std::string>;

inline const Topic fleetTopic = "fleet";

}  // namespace tamarindshift

#pragma once

#include <string>

#include "edge/door.hpp"

namespace tamarindshift::testing {

// empty where the request carries no such header
inline std::string headerOf(const DoorRequest& request, const std::string& name) {
  for (const auto& [key, value] : request.headers)
    if (key == name) return value;
  return {};
}

}  // namespace tamarindshift::testing

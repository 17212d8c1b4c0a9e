#pragma once

#include <string>

namespace tamarindshift {

inline std::string numbered(std::string name, std::size_t number) {
  return name.append(std::to_string(number));
}

}  // namespace tamarindshift

#pragma once

#include <string>

#include "base/address.hpp"

namespace tamarindshift::testing {

struct AccessPoint {
  Address front;
  Address readiness;
  std::string zone;
};

}  // namespace tamarindshift::testing

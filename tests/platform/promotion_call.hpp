#pragma once

#include <string>

#include "base/time.hpp"

namespace tamarindshift::testing {

struct PromotionCall {
  Instant at{};
  std::string service;
  std::string database;
  std::string holder;
  std::string fence;
  int status = 0;
};

}  // namespace tamarindshift::testing

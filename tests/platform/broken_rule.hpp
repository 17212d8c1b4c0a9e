#pragma once

#include <string>

namespace tamarindshift::testing {

struct BrokenRule {
  std::string rule;
  std::string text;
};

}  // namespace tamarindshift::testing

#pragma once

#include <string>

namespace tamarindshift {

/// One reason why a plan is not valid.
struct PlanFault {
  /// Path of the JSON value, such as `services.s1.quota`; empty for the whole text.
  std::string path;
  std::string reason;
};

}  // namespace tamarindshift

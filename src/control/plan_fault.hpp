#pragma once

#include <string>

namespace tamarindshift {

struct PlanFault {
  std::string path;
  std::string reason;
};

}  // namespace tamarindshift

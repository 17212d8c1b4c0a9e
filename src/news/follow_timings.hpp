#pragma once

#include "base/time.hpp"

namespace tamarindshift {

struct FollowTimings {
  Duration patience = 600ms;
  Duration pause = 50ms;
  Duration returnToFirst = 5s;
  bool signs = true;
};

}  // namespace tamarindshift

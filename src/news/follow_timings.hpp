#pragma once

#include "base/time.hpp"

namespace tamarindshift {

struct FollowTimings {
  Duration patience = 600ms;
  Duration pause = 50ms;
  Duration returnToFirst = 5s;
  bool signs = true;
  Duration sourcesKept = 500ms;
  // how long signs are asked for after somebody looked at them
  Duration signsKept = 5s;
};

}  // namespace tamarindshift

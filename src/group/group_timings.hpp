#pragma once

#include "base/time.hpp"

namespace tamarindshift {

struct GroupTimings {
  Duration heartbeatInterval = 100ms;
  Duration suspicionTimeout = 500ms;
  Duration settleDuration = 200ms;
  Duration flushTimeout = 400ms;
};

}  // namespace tamarindshift

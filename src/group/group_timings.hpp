#pragma once

#include "base/time.hpp"

namespace tamarindshift {

struct GroupTimings {
  Duration heartbeat = 100ms;
  Duration suspicion = 500ms;
  Duration settle = 200ms;
  Duration flush = 400ms;
};

}  // namespace tamarindshift

#pragma once

#include "base/time.hpp"

namespace tamarindshift::testing {

// of one database; the numbers are per thousand statements that were run
struct WireTroubles {
  unsigned loseAnswer = 0;
  unsigned fail = 0;
  unsigned expire = 0;
  unsigned slowness = 1;
  unsigned lagFactor = 1;
  bool receivesNothing = false;
};

}  // namespace tamarindshift::testing

#pragma once

#include "base/time.hpp"

namespace tamarindshift::testing {

struct PlatformBounds {
  Duration seedLag = 3s;
  Duration contact = 4s;
  Duration acknowledgement = 5s;
  Duration drain = 7s;
  Duration grace = 6s;
  Duration lossSlack = 200ms;
  Duration configApply = 3s;
  Duration revertSlack = 250ms;
  Duration recovery = 12s;
  Duration thawSlack = 300ms;
  bool fenceChecked = false;
};

}  // namespace tamarindshift::testing

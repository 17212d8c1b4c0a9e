#pragma once

namespace tamarindshift {

// per thousand writes
struct LineFaults {
  unsigned resetAfterWrite = 0;
  unsigned breakOff = 0;
  unsigned lose = 0;
};

}  // namespace tamarindshift

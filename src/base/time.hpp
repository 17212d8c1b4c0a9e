#pragma once

#include <chrono>

namespace tamarindshift {

using Duration = std::chrono::microseconds;
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using namespace std::chrono_literals;

inline std::chrono::milliseconds milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

}  // namespace tamarindshift

#pragma once

#include <cstdint>
#include <functional>

#include "base/strong.hpp"
#include "base/time.hpp"

namespace tamarindshift {

using BeatId = Strong<struct BeatIdTag, std::uint64_t>;

class Clock {
 public:
  virtual ~Clock() = default;
  virtual Instant now() const = 0;
  virtual BeatId after(Duration duration, std::function<void()> beat) = 0;
  virtual void cancel(BeatId beat) = 0;
};

}  // namespace tamarindshift

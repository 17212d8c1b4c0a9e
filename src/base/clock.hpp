#pragma once

#include <cstdint>
#include <functional>

#include "base/strong.hpp"
#include "base/time.hpp"

namespace tamarindshift {

using TimerId = Strong<struct TimerIdTag, std::uint64_t>;

class Clock {
 public:
  virtual ~Clock() = default;
  virtual Instant now() const = 0;
  virtual TimerId after(Duration duration, std::function<void()> timer) = 0;
  virtual void cancel(TimerId timer) = 0;
};

}  // namespace tamarindshift

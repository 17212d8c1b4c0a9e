#include "pooler/drain_schedule.hpp"

namespace tamarindshift {

namespace {

/// Time that the process needs to exit.
constexpr Duration exitMargin = 700ms;

}  // namespace

void DrainSchedule::begin() {
  if (!begunAt_) begunAt_ = clock_.now();
}

bool DrainSchedule::over() const {
  return reached(settings_.timings.stop - exitMargin);
}

}  // namespace tamarindshift

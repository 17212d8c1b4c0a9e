#include "pooler/drain_schedule.hpp"

#include <algorithm>

namespace tamarindshift {

namespace {

/// Before the end of the stop time; of a short one at most the part that the divisor names.
constexpr Duration answerMargin = 700ms;
constexpr int answerDivisor = 8;
constexpr Duration exitMargin = 300ms;
constexpr int exitDivisor = 16;

}  // namespace

void DrainSchedule::begin() {
  if (!begunAt_) begunAt_ = clock_.now();
}

bool DrainSchedule::answersDue() const {
  auto stop = settings_.timings.stop;
  return reached(stop - std::min(answerMargin, stop / answerDivisor));
}

bool DrainSchedule::over() const {
  auto stop = settings_.timings.stop;
  return reached(stop - std::min(exitMargin, stop / exitDivisor));
}

}  // namespace tamarindshift

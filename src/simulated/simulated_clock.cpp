#include "simulated/simulated_clock.hpp"

namespace tamarindshift {

SimulatedClock::~SimulatedClock() {
  for (const auto& [own, world] : pending_) world_.cancel(world);
}

TimerId SimulatedClock::after(Duration duration, std::function<void()> timer) {
  TimerId own{++last_};
  pending_[own] = world_.at(world_.now() + duration + slowness_, [this, own, timer = std::move(timer)]() mutable {
    pending_.erase(own);
    if (frozen_)
      held_.emplace_back(own, std::move(timer));
    else
      timer();
  });
  return own;
}

void SimulatedClock::runSlower(int times) {
  rateFrom_ = world_.now();
  slowdown_ = times;
}

void SimulatedClock::cancel(TimerId timer) {
  if (auto found = pending_.find(timer); found != pending_.end()) {
    world_.cancel(found->second);
    pending_.erase(found);
    return;
  }
  std::erase_if(held_, [timer](const auto& each) {
    return each.first == timer;
  });
}

void SimulatedClock::thaw() {
  frozen_ = false;
  auto held = std::move(held_);
  held_.clear();
  for (auto& [own, timer] : held)
    pending_[own] = world_.at(world_.now(), [this, own = own, timer = std::move(timer)] {
      pending_.erase(own);
      timer();
    });
}

}  // namespace tamarindshift

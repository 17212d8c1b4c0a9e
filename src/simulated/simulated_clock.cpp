#include "simulated/simulated_clock.hpp"

namespace tamarindshift {

SimulatedClock::~SimulatedClock() {
  for (const auto& [own, world] : pending_) world_.cancel(world);
}

BeatId SimulatedClock::after(Duration duration, std::function<void()> beat) {
  BeatId own{++last_};
  pending_[own] = world_.at(world_.now() + duration + slowness_, [this, own, beat = std::move(beat)]() mutable {
    pending_.erase(own);
    if (frozen_)
      held_.emplace_back(own, std::move(beat));
    else
      beat();
  });
  return own;
}

void SimulatedClock::runSlower(int times) {
  rateFrom_ = world_.now();
  slowdown_ = times;
}

void SimulatedClock::cancel(BeatId beat) {
  if (auto found = pending_.find(beat); found != pending_.end()) {
    world_.cancel(found->second);
    pending_.erase(found);
    return;
  }
  std::erase_if(held_, [beat](const auto& each) { return each.first == beat; });
}

void SimulatedClock::thaw() {
  frozen_ = false;
  auto held = std::move(held_);
  held_.clear();
  for (auto& [own, beat] : held) pending_[own] = world_.at(world_.now(), [this, own = own, beat = std::move(beat)] {
    pending_.erase(own);
    beat();
  });
}

}  // namespace tamarindshift

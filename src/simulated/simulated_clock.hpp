#pragma once

#include <deque>
#include <unordered_set>

#include "simulated/world.hpp"

namespace tamarindshift {

class SimulatedClock : public Clock {
 public:
  explicit SimulatedClock(World& world) : world_(world) {}
  ~SimulatedClock() override;
  Instant now() const override { return rateFrom_ + (world_.now() - rateFrom_) / slowdown_; }
  TimerId after(Duration duration, std::function<void()> timer) override;
  void cancel(TimerId timer) override;
  void freeze() { frozen_ = true; }
  void thaw();
  bool frozen() const { return frozen_; }
  void slowBy(Duration delay) { slowness_ = delay; }
  void runSlower(int times);

 private:
  World& world_;
  bool frozen_ = false;
  Duration slowness_{};
  int slowdown_ = 1;
  Instant rateFrom_{};
  std::uint64_t last_ = 0;
  std::unordered_map<TimerId, TimerId> pending_;
  std::deque<std::pair<TimerId, std::function<void()>>> held_;
};

}  // namespace tamarindshift

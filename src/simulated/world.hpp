#pragma once

#include <random>

#include "base/timer_table.hpp"

namespace tamarindshift {

class World {
 public:
  explicit World(std::uint64_t seed) : random_(seed) {}
  Instant now() const { return now_; }
  TimerId at(Instant due, std::function<void()> heartbeat) { return heartbeats_.add(std::max(due, now_), std::move(heartbeat)); }
  void cancel(TimerId id) { heartbeats_.cancel(id); }
  void runUntil(Instant until);
  std::uint64_t below(std::uint64_t bound) { return bound == 0 ? 0 : random_() % bound; }
  std::uint64_t incarnation() { return static_cast<std::uint64_t>(now_.time_since_epoch().count()) << 10 | below(1024); }
  bool chance(unsigned perThousand) { return below(1000) < perThousand; }

 private:
  Instant now_{Duration{1'000'000}};
  TimerTable heartbeats_;
  std::mt19937_64 random_;
};

}  // namespace tamarindshift

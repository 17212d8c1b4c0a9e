#include "real/real_clock.hpp"

namespace tamarindshift {

TimerId RealClock::after(Duration duration, std::function<void()> timer) {
  auto id = timers_.add(now() + duration, std::move(timer));
  if (firing_) return id;
  if (duration > Duration::zero()) {
    arm();
  } else if (!std::exchange(posted_, true)) {
    boost::asio::post(context_, [this] {
      posted_ = false;
      fire();
    });
  }
  return id;
}

void RealClock::arm() {
  auto earliest = timers_.earliest();
  if (!earliest || (armedFor_ && *armedFor_ <= *earliest)) return;
  armedFor_ = earliest;
  timer_.expires_at(*earliest);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    armedFor_.reset();
    fire();
  });
}

void RealClock::fire() {
  firing_ = true;
  auto due = now();
  for (int left = 1000; left > 0; --left) {
    auto timer = timers_.takeDue(due);
    if (!timer) break;
    (*timer)();
  }
  firing_ = false;
  arm();
}

}  // namespace tamarindshift

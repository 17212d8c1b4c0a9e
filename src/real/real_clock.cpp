#include "real/real_clock.hpp"

namespace tamarindshift {

BeatId RealClock::after(Duration duration, std::function<void()> beat) {
  auto id = beats_.add(now() + duration, std::move(beat));
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
  auto earliest = beats_.earliest();
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
    auto beat = beats_.takeDue(due);
    if (!beat) break;
    (*beat)();
  }
  firing_ = false;
  arm();
}

}  // namespace tamarindshift

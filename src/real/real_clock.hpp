#pragma once

#include "base/timer_table.hpp"
#include "real/asio.hpp"

namespace tamarindshift {

class RealClock : public Clock {
 public:
  explicit RealClock(boost::asio::io_context& context) : context_(context), timer_(context) {}
  Instant now() const override { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); }
  TimerId after(Duration duration, std::function<void()> timer) override;
  void cancel(TimerId timer) override { timers_.cancel(timer); }

 private:
  void arm();
  void fire();
  boost::asio::io_context& context_;
  boost::asio::steady_timer timer_;
  TimerTable timers_;
  std::optional<Instant> armedFor_;
  bool firing_ = false;
  bool posted_ = false;
};

}  // namespace tamarindshift

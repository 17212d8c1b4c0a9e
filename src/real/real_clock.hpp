#pragma once

#include "base/beat_table.hpp"
#include "real/asio.hpp"

namespace tamarindshift {

class RealClock : public Clock {
 public:
  explicit RealClock(boost::asio::io_context& context) : context_(context), timer_(context) {}
  Instant now() const override { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); }
  BeatId after(Duration duration, std::function<void()> beat) override;
  void cancel(BeatId beat) override { beats_.cancel(beat); }

 private:
  void arm();
  void fire();
  boost::asio::io_context& context_;
  boost::asio::steady_timer timer_;
  BeatTable beats_;
  std::optional<Instant> armedFor_;
  bool firing_ = false;
  bool posted_ = false;
};

}  // namespace tamarindshift

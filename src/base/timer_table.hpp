#pragma once

#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

#include "base/clock.hpp"

namespace tamarindshift {

class TimerTable {
 public:
  TimerId add(Instant due, std::function<void()> timer);
  void cancel(TimerId id);
  std::optional<Instant> earliest() const;
  std::optional<std::function<void()>> takeDue(Instant now);

 private:
  using Key = std::pair<Instant, TimerId>;
  std::map<Key, std::function<void()>> timers_;
  std::unordered_map<TimerId, Instant> due_;
  std::uint64_t last_ = 0;
};

}  // namespace tamarindshift

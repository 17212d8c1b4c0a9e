#include "base/timer_table.hpp"

namespace tamarindshift {

TimerId TimerTable::add(Instant due, std::function<void()> timer) {
  TimerId id{++last_};
  timers_.emplace(Key{due, id}, std::move(timer));
  due_.emplace(id, due);
  return id;
}

void TimerTable::cancel(TimerId id) {
  auto found = due_.find(id);
  if (found == due_.end()) return;
  timers_.erase(Key{found->second, id});
  due_.erase(found);
}

std::optional<Instant> TimerTable::earliest() const {
  if (timers_.empty()) return std::nullopt;
  return timers_.begin()->first.first;
}

std::optional<std::function<void()>> TimerTable::takeDue(Instant now) {
  if (timers_.empty() || timers_.begin()->first.first > now) return std::nullopt;
  auto first = timers_.begin();
  auto timer = std::move(first->second);
  due_.erase(first->first.second);
  timers_.erase(first);
  return timer;
}

}  // namespace tamarindshift

#include "base/beat_table.hpp"

namespace tamarindshift {

BeatId BeatTable::add(Instant due, std::function<void()> beat) {
  BeatId id{++last_};
  beats_.emplace(Key{due, id}, std::move(beat));
  due_.emplace(id, due);
  return id;
}

void BeatTable::cancel(BeatId id) {
  auto found = due_.find(id);
  if (found == due_.end()) return;
  beats_.erase(Key{found->second, id});
  due_.erase(found);
}

std::optional<Instant> BeatTable::earliest() const {
  if (beats_.empty()) return std::nullopt;
  return beats_.begin()->first.first;
}

std::optional<std::function<void()>> BeatTable::takeDue(Instant now) {
  if (beats_.empty() || beats_.begin()->first.first > now) return std::nullopt;
  auto first = beats_.begin();
  auto beat = std::move(first->second);
  due_.erase(first->first.second);
  beats_.erase(first);
  return beat;
}

}  // namespace tamarindshift

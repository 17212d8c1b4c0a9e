#pragma once

#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

#include "base/clock.hpp"

namespace tamarindshift {

class BeatTable {
 public:
  BeatId add(Instant due, std::function<void()> beat);
  void cancel(BeatId id);
  std::optional<Instant> earliest() const;
  std::optional<std::function<void()>> takeDue(Instant now);

 private:
  using Key = std::pair<Instant, BeatId>;
  std::map<Key, std::function<void()>> beats_;
  std::unordered_map<BeatId, Instant> due_;
  std::uint64_t last_ = 0;
};

}  // namespace tamarindshift

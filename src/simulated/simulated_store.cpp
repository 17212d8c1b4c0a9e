#include "simulated/simulated_store.hpp"

#include <algorithm>

namespace tamarindshift {

void SimulatedStore::append(const std::string& record) {
  length_ += record.size();
  auto& records = replacement_ ? *replacement_ : disk_.unsynced;
  records.push_back(record);
}

void SimulatedStore::sync(std::function<void()> synced) {
  auto covered = disk_.synced.size() + disk_.unsynced.size();
  clock_.after(latency_, [this, covered, generation = generation_, synced = std::move(synced)] {
    if (refusing_) {
      held_.push_back(synced);
      return;
    }
    if (generation == generation_ && covered > disk_.synced.size()) {
      auto amount = static_cast<std::ptrdiff_t>(std::min(covered - disk_.synced.size(), disk_.unsynced.size()));
      disk_.synced.insert(disk_.synced.end(), disk_.unsynced.begin(), disk_.unsynced.begin() + amount);
      disk_.unsynced.erase(disk_.unsynced.begin(), disk_.unsynced.begin() + amount);
    }
    synced();
  });
}

void SimulatedStore::rewrite(const std::vector<std::string>& records) {
  length_ = 0;
  for (const auto& record : records) length_ += record.size();
  if (refusing_) {
    replacement_ = records;
    return;
  }
  ++generation_;
  disk_.synced = records;
  disk_.unsynced.clear();
}

void SimulatedStore::refuse(bool refusing) {
  refusing_ = refusing;
  reason_ = refusing ? "the disk refuses writes" : "";
  if (refusing_) return;
  if (replacement_) {
    ++generation_;
    disk_.synced = std::move(*replacement_);
    disk_.unsynced.clear();
    replacement_.reset();
  }
  for (auto& synced : std::exchange(held_, {})) sync(std::move(synced));
}

}  // namespace tamarindshift

#include "simulated/simulated_store.hpp"

#include <algorithm>

namespace tamarindshift {

void SimulatedStore::append(const std::string& record) {
  length_ += record.size();
  disk_.unsynced.push_back(record);
}

void SimulatedStore::sync(std::function<void()> synced) {
  auto covered = disk_.synced.size() + disk_.unsynced.size();
  clock_.after(latency_, [this, covered, generation = generation_, synced = std::move(synced)] {
    if (generation == generation_ && covered > disk_.synced.size()) {
      auto amount = static_cast<std::ptrdiff_t>(std::min(covered - disk_.synced.size(), disk_.unsynced.size()));
      disk_.synced.insert(disk_.synced.end(), disk_.unsynced.begin(), disk_.unsynced.begin() + amount);
      disk_.unsynced.erase(disk_.unsynced.begin(), disk_.unsynced.begin() + amount);
    }
    synced();
  });
}

void SimulatedStore::rewrite(const std::vector<std::string>& records) {
  ++generation_;
  length_ = 0;
  for (const auto& record : records) length_ += record.size();
  disk_.synced = records;
  disk_.unsynced.clear();
}

}  // namespace tamarindshift

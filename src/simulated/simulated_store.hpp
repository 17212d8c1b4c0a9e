#pragma once

#include "base/clock.hpp"
#include "simulated/simulated_disk.hpp"
#include "store/stable_store.hpp"

namespace tamarindshift {

class SimulatedStore : public StableStore {
 public:
  SimulatedStore(Clock& clock, SimulatedDisk& disk, Duration latency) : clock_(clock), disk_(disk), latency_(latency) {}
  std::optional<std::vector<std::string>> load() override { return disk_.synced; }
  void append(const std::string& record) override;
  void sync(std::function<void()> synced) override;
  void rewrite(const std::vector<std::string>& records) override;
  std::size_t sizeBytes() const override { return length_; }
  bool refusesWrites() const override { return refusing_; }
  const std::string& lastReason() const override { return reason_; }
  void slow(Duration latency) { latency_ = latency; }
  /// From now on the disk refuses writes, or takes them again.
  void refuse(bool refusing);

 private:
  Clock& clock_;
  SimulatedDisk& disk_;
  Duration latency_;
  std::size_t length_ = 0;
  std::size_t generation_ = 0;
  bool refusing_ = false;
  std::vector<std::function<void()>> held_;
  // what is to replace the records of a disk that refuses, and what was appended since
  std::optional<std::vector<std::string>> replacement_;
  std::string reason_;
};

}  // namespace tamarindshift

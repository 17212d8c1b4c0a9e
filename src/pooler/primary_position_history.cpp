#include "pooler/primary_position_history.hpp"

#include <algorithm>

namespace tamarindshift {

void PrimaryPositionHistory::record(Instant askedAt, LogPosition logPosition) {
  if (!samples_.empty() && askedAt < samples_.back().askedAt + minInterval) return;
  if (!samples_.empty() && logPosition < samples_.back().logPosition) return;
  samples_.push_back(Sample{askedAt, logPosition});
  while (samples_.front().askedAt + retention < askedAt) samples_.pop_front();
}

std::optional<LogPosition> PrimaryPositionHistory::covering(Instant since) const {
  auto found = std::lower_bound(samples_.begin(), samples_.end(), since, [](const Sample& sample, Instant instant) {
    return sample.askedAt < instant;
  });
  if (found == samples_.end()) return std::nullopt;
  return found->logPosition;
}

std::optional<Instant> PrimaryPositionHistory::newest() const {
  if (samples_.empty()) return std::nullopt;
  return samples_.back().askedAt;
}

}  // namespace tamarindshift

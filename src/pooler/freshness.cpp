#include "pooler/freshness.hpp"

#include <algorithm>

namespace tamarindshift {

void Freshness::note(Instant askedAt, LogPosition place) {
  if (!samples_.empty() && askedAt < samples_.back().askedAt + spacing) return;
  if (!samples_.empty() && place < samples_.back().place) return;
  samples_.push_back(Sample{askedAt, place});
  while (samples_.front().askedAt + kept < askedAt) samples_.pop_front();
}

std::optional<LogPosition> Freshness::covering(Instant since) const {
  auto found = std::lower_bound(samples_.begin(), samples_.end(), since, [](const Sample& sample, Instant instant) {
    return sample.askedAt < instant;
  });
  if (found == samples_.end()) return std::nullopt;
  return found->place;
}

std::optional<Instant> Freshness::newest() const {
  if (samples_.empty()) return std::nullopt;
  return samples_.back().askedAt;
}

}  // namespace tamarindshift

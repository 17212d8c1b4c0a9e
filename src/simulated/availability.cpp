#include "simulated/availability.hpp"

#include <algorithm>

namespace tamarindshift {

void Availability::disturbed(const ServiceName& service, Instant at) {
  calms_[service].push_back(Calm{at, at});
}

void Availability::disturbed(Instant at) {
  for (auto& [service, calms] : calms_) calms.push_back(Calm{at, at});
}

void Availability::trouble(const std::string& name, bool lasts) {
  if (lasts)
    troubles_.insert(name);
  else
    troubles_.erase(name);
}

void Availability::sample(const ServiceName& service, bool able, Instant at) {
  auto& calms = calms_[service];
  bool troubled = std::any_of(troubles_.begin(), troubles_.end(), [&](const auto& name) {
    return name == "all" || name == service.get();
  });
  if (calms.empty() || !able || troubled)
    calms.push_back(Calm{at, at});
  else
    calms.back().until = at;
}

bool Availability::excused(const ServiceName& service, Instant from, Instant until) const {
  return std::any_of(excuses_.begin(), excuses_.end(), [&](const auto& excuse) {
    return std::get<0>(excuse) == service && std::get<1>(excuse) < until && from < std::get<2>(excuse);
  });
}

std::size_t Availability::check(const std::vector<CallerOperation>& operations, const std::vector<CallerKind>& kinds, Instant start,
                                const FaultSink& fault) const {
  std::size_t windows = 0;
  for (const auto& kind : kinds) {
    auto calms = calms_.find(kind.service);
    if (calms == calms_.end()) continue;
    for (const auto& calm : calms->second)
      for (auto from = calm.from + backWithin; from + window <= calm.until; from += window) {
        if (excused(kind.service, from - backWithin, from + window)) continue;
        std::size_t asks = 0;
        std::size_t done = 0;
        for (const auto& each : operations) {
          if (each.kind != kind.kind || each.startedAt < from || each.startedAt >= from + window) continue;
          ++asks;
          done += each.outcome == "done" || each.outcome == "rolled-back";
        }
        ++windows;
        if (asks >= fewAsks && done * 100 >= asks * leastDonePercent) continue;
        fault(kind.kind.get() + " was served " + std::to_string(done) + " of " + std::to_string(asks) + " asks from " +
              std::to_string(milliseconds(from - start).count()) + "ms, calm since " +
              std::to_string(milliseconds(calm.from - start).count()) + "ms");
      }
  }
  return windows;
}

}  // namespace tamarindshift

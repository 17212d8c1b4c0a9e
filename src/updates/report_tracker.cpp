#include "updates/report_tracker.hpp"

namespace tamarindshift {

bool ReportTracker::record(NodeReport report) {
  bool sameBoot = last_.boot == report.boot;
  if (!report.whole && !sameBoot) return false;
  if (!sameBoot) sent_.clear();
  auto number = last_.number + 1;
  auto services = std::move(last_.services);
  if (report.whole && std::erase_if(services, [&](const auto& each) {
                        return !report.services.contains(each.first);
                      }) > 0)
    sent_.clear();
  for (auto& [service, own] : report.services) {
    auto [before, fresh] = services.try_emplace(service, own);
    if (!fresh && before->second == own) continue;
    before->second = std::move(own);
    changedBy_[service] = number;
  }
  std::erase_if(changedBy_, [&](const auto& each) {
    return !services.contains(each.first);
  });
  last_ = std::move(report);
  last_.services = std::move(services);
  last_.whole = true;
  last_.number = number;
  last_.after = 0;
  encoded_.clear();
  return true;
}

const std::string& ReportTracker::nextMessage(const Address& replica, Instant now) {
  auto [sent, fresh] = sent_.try_emplace(replica);
  auto& own = sent->second;
  bool whole = fresh || now - own.wholeAt > wholeInterval_;
  auto after = whole ? 0 : own.number;
  if (whole) own.wholeAt = now;
  own.number = last_.number;
  return encodedSince(after);
}

const std::string& ReportTracker::encodedSince(std::uint64_t number) {
  auto [bytes, fresh] = encoded_.try_emplace(number);
  if (!fresh) return bytes->second;
  if (number == 0) return bytes->second = packed(last_);
  NodeReport report{last_.node, last_.zone, last_.boot, last_.draining, last_.mark, last_.lease, {}, false, last_.number, number};
  for (const auto& [service, changedBy] : changedBy_)
    if (changedBy > number) report.services[service] = last_.services.at(service);
  return bytes->second = packed(report);
}

}  // namespace tamarindshift

#include "updates/report_tracker.hpp"

namespace tamarindshift {

bool ReportTracker::record(NodeReport report) {
  bool sameBoot = last_.boot == report.boot;
  if (!report.full && !sameBoot) return false;
  if (!sameBoot) sent_.clear();
  auto number = last_.number + 1;
  auto services = std::move(last_.services);
  if (report.full && std::erase_if(services, [&](const auto& each) {
                       return !report.services.contains(each.first);
                     }) > 0)
    sent_.clear();
  for (auto& [service, serviceReport] : report.services) {
    auto [before, inserted] = services.try_emplace(service, serviceReport);
    if (!inserted && before->second == serviceReport) continue;
    before->second = std::move(serviceReport);
    changedBy_[service] = number;
  }
  std::erase_if(changedBy_, [&](const auto& each) {
    return !services.contains(each.first);
  });
  last_ = std::move(report);
  last_.services = std::move(services);
  last_.full = true;
  last_.number = number;
  last_.baseNumber = 0;
  encoded_.clear();
  return true;
}

const std::string& ReportTracker::nextMessage(const Address& replica, Instant now) {
  auto [sent, inserted] = sent_.try_emplace(replica);
  auto& lastSent = sent->second;
  bool whole = inserted || now - lastSent.wholeAt > wholeInterval_;
  auto after = whole ? 0 : lastSent.number;
  if (whole) lastSent.wholeAt = now;
  lastSent.number = last_.number;
  return encodedSince(after);
}

const std::string& ReportTracker::encodedSince(std::uint64_t number) {
  auto [bytes, inserted] = encoded_.try_emplace(number);
  if (!inserted) return bytes->second;
  if (number == 0) return bytes->second = packed(last_);
  NodeReport report{last_.node, last_.zone, last_.boot, last_.draining, last_.mark, last_.lease, {}, false, last_.number, number};
  for (const auto& [service, changedBy] : changedBy_)
    if (changedBy > number) report.services[service] = last_.services.at(service);
  return bytes->second = packed(report);
}

}  // namespace tamarindshift

#include <algorithm>

#include "pooler/pooler.hpp"

// Pooler: its reports to the control plane.

namespace tamarindshift {

void Pooler::requestReport() {
  reportRequested_ = true;
  reportWakeup_.open();
}

NodeReport Pooler::buildReport() {
  NodeReport report;
  report.node = settings_.node;
  report.zone = settings_.zone;
  report.boot = boot_;
  report.draining = releasesShare_;
  report.mark = guide_.planMark();
  auto now = clock_.now();
  measureDemand();
  for (const auto& [name, view] : guide_.services()) {
    if (!view.plan) continue;
    auto& tracker = trackers_[name];
    auto& serviceReport = report.services[name];
    serviceReport.appliedPosition = tracker.appliedMark;
    serviceReport.epoch = tracker.confirmedEpoch;
    if (view.plan->service.keepsAcknowledgedWrites()) serviceReport.acknowledged = tracker.acknowledgedPosition;
    serviceReport.suspects = tracker.suspects;
    serviceReport.strained = tracker.strained;
    serviceReport.demands = tracker.demands;
    serviceReport.hasRecentWork = now - tracker.lastWorkAt < 1s;
    std::size_t busy = 0;
    for (const auto& [database, info] : view.databases)
      if (const auto* databasePool = pool_.find(database)) busy = std::max(busy, databasePool->busy.size());
    // a peak that decays by a tenth with each report
    tracker.connectionDemand = std::max(static_cast<double>(busy), tracker.connectionDemand * 0.9);
    if (auto until = guide_.leaseUntil(name)) report.lease = std::max(report.lease, *until - now);
    for (const auto& [branch, planned] : view.plan->service.branches)
      serviceReport.connectionDemand[branch] = releasesShare_ ? 0 : static_cast<std::uint32_t>(tracker.connectionDemand + 1.5);
  }
  return report;
}

NodeReport Pooler::withoutUnchanged(NodeReport report) {
  auto now = clock_.now();
  report.full = now - lastWholeReportAt_ > 2 * settings_.timings.report || notReadyReason();
  if (report.full) {
    lastWholeReportAt_ = now;
    lastReported_ = report.services;
    return report;
  }
  auto similarLoad = [](const auto& left, const auto& right) {
    auto sum = [](const auto& demands) {
      std::uint32_t all = 0;
      for (const auto& [database, orders] : demands)
        for (const auto& [order, amount] : orders) all += amount;
      return all;
    };
    auto before = sum(left);
    auto now = sum(right);
    return now <= 2 * before + demandUnitsPerConnection && before <= 2 * now + demandUnitsPerConnection;
  };
  auto unchanged = [similarLoad](const ServiceReport& left, const ServiceReport& right) {
    bool similarDemand = std::all_of(right.connectionDemand.begin(), right.connectionDemand.end(), [&](const auto& each) {
      auto before = left.connectionDemand.find(each.first);
      return before != left.connectionDemand.end() && each.second <= before->second + 1 && before->second <= each.second + 2;
    });
    return similarDemand && similarLoad(left.demands, right.demands) &&
           std::tie(left.epoch, left.appliedPosition, left.acknowledged, left.suspects, left.strained, left.hasRecentWork) ==
               std::tie(right.epoch, right.appliedPosition, right.acknowledged, right.suspects, right.strained, right.hasRecentWork);
  };
  std::erase_if(report.services, [&](const auto& each) {
    auto before = lastReported_.find(each.first);
    return before != lastReported_.end() && unchanged(before->second, each.second);
  });
  for (const auto& [name, serviceReport] : report.services) lastReported_[name] = serviceReport;
  return report;
}

Task<void> Pooler::reportLoop() {
  for (;;) {
    reportRequested_ = false;
    reports_(withoutUnchanged(buildReport()));
    co_await sleep(clock_, 20ms);
    if (!reportRequested_) co_await reportWakeup_.wait(clock_, clock_.now() + settings_.timings.report);
  }
}

}  // namespace tamarindshift

#include <algorithm>

#include "pooler/pooler.hpp"

// Pooler: what is looked after every 100 ms or more often: routes, epochs, connections, transactions that rest.

namespace tamarindshift {

Task<void> Pooler::superviseLoop() {
  for (;;) {
    auto& changed = guide_.changed();
    co_await changed.wait(clock_, clock_.now() + (epochChangePending() ? 10ms : pool_.checkingSilence() ? 50ms : 100ms));
    supervise();
  }
}

bool Pooler::epochChangePending() const {
  return std::any_of(trackers_.begin(), trackers_.end(), [](const auto& each) {
    return each.second.confirmedEpoch != each.second.observedEpoch;
  });
}

void Pooler::supervise() {
  auto before = std::exchange(supervisedAt_, clock_.now());
  if (supervisedAt_ - before > stallThreshold) stalledAt_ = supervisedAt_;
  guide_.refresh();
  planVersions_.observe(guide_.planMark());
  if (guide_.servicesKnown()) lastLeasedAt_ = clock_.now();
  std::set<DatabaseName> known;
  for (const auto& [name, view] : guide_.services())
    for (const auto& [database, info] : view.databases) known.insert(database);
  updateRoutes();
  auto reason = notReadyReason().value_or("");
  if (reason != notReadyReason_) journal_.line(reason.empty() ? "ready" : "not ready: " + reason);
  notReadyReason_ = reason;
  pool_.retainOnly(known);
  pool_.decayStatistics();
  pool_.suspectSilent(settings_.suspicionTimeout);
  for (const auto& [name, view] : guide_.services()) superviseService(name, view);
  for (const auto& [name, tracker] : trackers_)
    if (!guide_.service(name) && clock_.now() - tracker.lastLeasedAt > settings_.timings.connectionsKept) pool_.closeAll(name);
  endOverdueTransactions();
  superviseDrain();
  assignConnections();
  failures_.endQuietEpisodes(clock_.now());
  supervised_.open();
}

void Pooler::updateRoutes() {
  bool routesChanged = false;
  for (const auto& [name, view] : guide_.services()) {
    routesChanged = routesChanged || routeMarks_[name] != view.mark;
    routeMarks_[name] = view.mark;
  }
  if (std::erase_if(routeMarks_, [&](const auto& each) {
        return !guide_.services().contains(each.first);
      }) > 0)
    routesChanged = true;
  if (!routesChanged) return;
  routesByHost_.clear();
  for (const auto& [name, view] : guide_.services()) {
    if (!view.plan) continue;
    for (const auto& [kindName, kind] : view.plan->kinds)
      if (!kind.host.empty()) routesByHost_[kind.host].push_back(kindName);
  }
}

void Pooler::endOverdueTransactions() {
  auto now = clock_.now();
  for (const auto& session : sessions_) {
    if (!session->transaction || session->busy || session->transaction->failed) continue;
    auto idleLimit = limit("idle-transaction-ms");
    bool tooLong = idleLimit && now - session->usedAt > std::chrono::milliseconds{*idleLimit};
    if (drain_.transactionsOver() || tooLong) {
      journal_.count("transactions.rested_too_long");
      failTransaction(*session);
    }
  }
}

// A newer epoch may come with the first lease after a cut, long after the control plane gave up waiting for this node. So its
// grace period ends with the lease that came with the previous epoch.
void Pooler::observeEpoch(const ServiceName& name, const ServiceDirectory::ServiceView& view, ServiceTracker& tracker) {
  auto now = clock_.now();
  const auto& primary = view.primary;
  if (primary.epoch != tracker.observedEpoch) {
    bool first = tracker.observedEpoch == Epoch{};
    auto grace = primary.plannedSwitchover ? settings_.plannedChangeGrace : Duration::zero();
    tracker.previousLeaseUntil = tracker.leaseUntil;
    tracker.finishUntil = std::min(now + grace, tracker.previousLeaseUntil);
    tracker.runningUntil = std::min(now + 2 * grace, tracker.previousLeaseUntil);
    if (!first && !primary.plannedSwitchover && tracker.primary != primary.primary) pool_.closeIdle(tracker.primary);
    tracker.observedEpoch = primary.epoch;
    tracker.primary = primary.primary;
    if (!first) logEpochChange(name, tracker);
  }
  if (auto until = guide_.leaseUntil(name)) tracker.leaseUntil = *until;
}

void Pooler::logEpochChange(const ServiceName& name, const ServiceTracker& tracker) {
  auto now = clock_.now();
  auto grace = std::max(tracker.finishUntil - now, Duration::zero());
  journal_.line("service " + name.get() + ": epoch " + std::to_string(tracker.observedEpoch.get()) +
                ", work of the previous one may finish for " + std::to_string(milliseconds(grace).count()) + " ms, its lease " +
                (tracker.previousLeaseUntil > now ? "lasts" : "has ended"));
}

// After a planned change, transactions between statements are closed first, running statements later.
void Pooler::finishPreviousEpoch(const ServiceName& name, const ServiceDirectory::ServiceView& view, ServiceTracker& tracker) {
  auto now = clock_.now();
  bool runs = false;
  for (const auto& [database, databasePool] : pool_.databasePools())
    for (const auto& connection : databasePool.busy)
      if (connection->target.service == name && connection->asPrimary && connection->epoch < tracker.observedEpoch) runs = true;
  if (runs && now >= tracker.finishUntil)
    for (const auto& [database, info] : view.databases) pool_.closeBusy(database, true, tracker.observedEpoch, now < tracker.runningUntil);
  if (runs) return;
  tracker.confirmedEpoch = tracker.observedEpoch;
  requestReport();
}

void Pooler::superviseService(const ServiceName& name, const ServiceDirectory::ServiceView& view) {
  auto& tracker = trackers_[name];
  auto now = clock_.now();
  bool leased = guide_.leased(name);
  if (now - tracker.lastLeasedAt > settings_.timings.connectionsKept) pool_.closeAll(name);
  if (leased) tracker.lastLeasedAt = now;
  observeEpoch(name, view, tracker);
  if (tracker.confirmedEpoch != tracker.observedEpoch) finishPreviousEpoch(name, view, tracker);
  bool withinLimit = true;
  for (const auto& [database, info] : view.databases) {
    auto& databasePool = pool_.forDatabase(database);
    pool_.trim(database, connectionLimit(name, view));
    withinLimit = withinLimit && databasePool.total() <= connectionLimit(name, view);
    // a suspected database is probed with a new connection; a successful one clears the suspicion
    if (leased && databasePool.suspected && now - databasePool.lastProbeAt > 500ms &&
        pool_.canOpen(database, connectionLimit(name, view))) {
      databasePool.lastProbeAt = now;
      DatabaseTarget target{name, database, info.address};
      pool_.open(target, 400ms);
    }
    bool alreadyReported =
        tracker.suspects.contains(database) == databasePool.suspected && tracker.strained.contains(database) == databasePool.strained();
    if (alreadyReported) continue;
    auto update = [&database](std::set<DatabaseName>& databases, bool listed) {
      listed ? void(databases.insert(database)) : void(databases.erase(database));
    };
    update(tracker.suspects, databasePool.suspected);
    update(tracker.strained, databasePool.strained());
    requestReport();
  }
  if (withinLimit) tracker.appliedMark = view.mark;
}

}  // namespace tamarindshift

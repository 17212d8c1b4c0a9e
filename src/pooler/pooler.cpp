#include "pooler/pooler.hpp"

#include <algorithm>

namespace tamarindshift {

Pooler::Pooler(Clock& clock, ServiceDirectory& guide, BackEndConnector& connector, Journal& journal, PoolerSettings settings,
               std::uint64_t boot, Reports reports)
    : clock_(clock),
      guide_(guide),
      journal_(journal),
      settings_(std::move(settings)),
      drain_(clock, settings_),
      boot_(boot),
      reports_(std::move(reports)),
      pool_(
          clock, connector, journal,
          [this] {
            assignConnections();
          },
          [this](const DatabaseTarget& target) {
            return hasRoom(target);
          }),
      failures_(journal),
      startedAt_(clock.now()) {
  scope_.spawn(superviseLoop());
  scope_.spawn(reportLoop());
}

std::shared_ptr<ClientSession> Pooler::open(const std::string& host, StatementReply& refusal) {
  if (closing() || sessions_.size() >= settings_.maxSessions) {
    refusal = refuse(StatementFault::busy, closing() ? leavingReason : "too many sessions");
    return nullptr;
  }
  if (!route(host)) {
    refusal =
        guide_.routesKnown() ? refuse(StatementFault::noDatabase, "no such database") : refuse(StatementFault::busy, "no current lease");
    return nullptr;
  }
  auto session = std::make_shared<ClientSession>();
  session->host = host;
  session->usedAt = clock_.now();
  sessions_.insert(session);
  journal_.count("sessions.opened");
  return session;
}

Task<std::shared_ptr<ClientSession>> Pooler::openWhenRoutesKnown(std::string host, StatementReply& refusal) {
  auto until = clock_.now() + settings_.routeWaitTimeout;
  for (;;) {
    auto session = open(host, refusal);
    bool mayBecomeAvailable =
        refusal.fault == StatementFault::busy && !closing() && !cutOff() && !leaseLapsedLong() && sessions_.size() < settings_.maxSessions;
    if (session || !mayBecomeAvailable || clock_.now() >= until) co_return session;
    co_await supervised_.wait(clock_, until);
  }
}

Task<StatementReply> Pooler::run(Session session, Statement statement) {
  session->busy = true;
  session->usedAt = clock_.now();
  session->trace = StatementTrace{};
  session->trace.id = statement.id;
  session->trace.arrivedAt = clock_.now();
  auto reply = co_await runStatement(session, std::move(statement));
  session->busy = false;
  session->usedAt = clock_.now();
  checkRepliedInTime(*session);
  noteFailure(*session, reply);
  co_return reply;
}

Task<StatementReply> Pooler::runStatement(Session session, Statement statement) {
  StatementReply reply;
  if (drain_.transactionsOver() && session->transaction && !session->transaction->failed) failTransaction(*session);
  bool failureUnreported =
      session->transaction && session->transaction->failed && !std::exchange(session->transaction->failureReported, true);
  bool ends = statement.kind == StatementKind::commit || statement.kind == StatementKind::rollback;
  if (failureUnreported && !ends) {
    reply = refuse(StatementFault::aborted, "the transaction was ended", TransactionState::failed);
  } else if (auto fault = invalid(*session, statement)) {
    auto state = !session->transaction          ? TransactionState::idle
                 : session->transaction->failed ? TransactionState::failed
                                                : TransactionState::open;
    reply = refuse(*fault, "not possible in this state", state);
  } else {
    switch (statement.kind) {
      case StatementKind::begin:
      case StatementKind::beginRead:
        reply = begin(*session, statement);
        break;
      case StatementKind::commit:
        reply = co_await commit(session, std::move(statement));
        break;
      case StatementKind::rollback:
        reply = rollback(session);
        break;
      case StatementKind::read:
      case StatementKind::write:
      case StatementKind::execute:
        if (session->transaction)
          reply = co_await runInTransaction(session, std::move(statement));
        else
          reply = co_await runSingle(session, std::move(statement));
        break;
      default:
        reply = applyLocally(*session, statement);
    }
  }
  if (session->transaction && session->transaction->failed) session->transaction->failureReported = true;
  co_return reply;
}

void Pooler::closeSession(const Session& session) {
  if (session->transaction) rollback(session);
  sessions_.erase(session);
}

void Pooler::drain() {
  if (draining()) return;
  drain_.begin();
  journal_.line("draining: not ready from now on, serving for " + std::to_string(milliseconds(settings_.drainServingTime).count()) + " ms");
}

bool Pooler::stopped() const {
  if (!closing()) return false;
  return sessions_.empty() || drain_.over() || (drain_.answersDue() && !anyBusy());
}

bool Pooler::anyBusy() const {
  return std::any_of(sessions_.begin(), sessions_.end(), [](const auto& session) {
    return session->busy;
  });
}

bool Pooler::needsConnections() const {
  if (drain_.transactionsOver()) return false;
  return std::any_of(sessions_.begin(), sessions_.end(), [](const auto& session) {
    return session->busy || (session->transaction && !session->transaction->failed);
  });
}

void Pooler::superviseDrain() {
  if (closing() && !needsConnections() && !std::exchange(releasesShare_, true)) requestReport();
  if (drain_.answersDue()) pool_.dropBusy();
}

bool Pooler::cutOff() const {
  return lastLeasedAt_ && elapsedSince(*lastLeasedAt_) > settings_.cutOffAfter &&
         elapsedSince(guide_.coreRepliedAt()) > 2 * settings_.cutOffAfter;
}

// a process that has just started, or was stalled, has had no time to receive a lease
Duration Pooler::elapsedSince(Instant instant) const {
  if (stalledSince(clock_.now())) return Duration::zero();
  return clock_.now() - std::max({instant, startedAt_, stalledAt_});
}

bool Pooler::leaseLapsedLong(const ServiceName& service) const {
  if (guide_.leased(service)) return false;
  auto tracker = trackers_.find(service);
  return elapsedSince(tracker == trackers_.end() ? Instant{} : tracker->second.lastLeasedAt) > settings_.lapseTolerance;
}

bool Pooler::leaseLapsedLong() const {
  return !guide_.servicesKnown() && elapsedSince(lastLeasedAt_.value_or(Instant{})) > settings_.lapseTolerance;
}

std::optional<std::string> Pooler::notReadyReason() const {
  if (draining()) return leavingReason;
  if (!guide_.servicesKnown()) return "no news of every service under a lease";
  bool works = guide_.services().empty();
  for (const auto& [name, view] : guide_.services()) works = works || connectionLimit(name, view) > 0;
  if (!works) return "no share of any service yet";
  return std::nullopt;
}

std::uint32_t Pooler::connectionLimit(const ServiceName& name, const ServiceDirectory::ServiceView& view) const {
  auto tracker = trackers_.find(name);
  if (tracker == trackers_.end() || clock_.now() - tracker->second.lastLeasedAt > settings_.timings.connectionsKept) return 0;
  std::uint32_t sum = 0;
  for (const auto& [branch, most] : view.share.connections) sum += most;
  return sum;
}

bool Pooler::hasRoom(const DatabaseTarget& target) const {
  const auto* view = guide_.service(target.service);
  const auto* databasePool = pool_.find(target.database);
  return view && (!databasePool || databasePool->total() < connectionLimit(target.service, *view));
}

std::optional<std::uint64_t> Pooler::limit(const std::string& name) const {
  auto found = guide_.limits().find(name);
  if (found == guide_.limits().end()) return std::nullopt;
  return found->second;
}

std::optional<Pooler::Route> Pooler::route(const std::string& host) const {
  auto found = routesByHost_.find(host);
  if (found == routesByHost_.end()) return std::nullopt;
  for (const auto& name : found->second)
    if (auto named = routeNamed(name)) return named;
  return std::nullopt;
}

std::optional<Pooler::Route> Pooler::routeNamed(const KindName& name) const {
  auto view = guide_.kind(name);
  if (!view.kind) return std::nullopt;
  return Route{name, view.kind, view.service};
}

Duration Pooler::statementTimeout(const KindName& kind) const {
  auto found = routeNamed(kind);
  return found && found->kind->statementTimeout ? *found->kind->statementTimeout : settings_.timings.queuePatience;
}

StatementReply Pooler::refuse(StatementFault fault, std::string reason, TransactionState state) {
  journal_.count("statements.refused");
  journal_.count("refused: " + reason);
  StatementReply reply;
  reply.fault = fault;
  reply.reason = std::move(reason);
  reply.state = state;
  if (fault == StatementFault::busy || fault == StatementFault::aborted) reply.retryAfter = settings_.timings.comeBack;
  return reply;
}

StatementReply Pooler::toStatementReply(BackEndReply reply) const {
  StatementReply result;
  result.fault = reply.fault;
  result.reason = std::move(reply.reason);
  result.rows = std::move(reply.rows);
  result.stamp = std::move(reply.stamp);
  result.state = reply.state;
  return result;
}

std::optional<StatementFault> Pooler::invalid(const ClientSession& session, const Statement& statement) const {
  bool ends = statement.kind == StatementKind::commit || statement.kind == StatementKind::rollback;
  bool begins = statement.kind == StatementKind::begin || statement.kind == StatementKind::beginRead;
  if (!session.transaction) return ends ? std::optional{StatementFault::malformed} : std::nullopt;
  if (begins || (session.transaction->failed && !ends)) return StatementFault::malformed;
  return std::nullopt;
}

bool Pooler::writes(const ClientSession& session, const Statement& statement) const {
  if (statement.kind != StatementKind::execute) return statement.kind == StatementKind::write;
  auto found = session.prepared.find(statement.name);
  return found != session.prepared.end() && found->second.writes;
}

StatementReply Pooler::applyLocally(ClientSession& session, const Statement& statement) {
  auto reply = localReply(session.transaction ? TransactionState::open : TransactionState::idle);
  switch (statement.kind) {
    case StatementKind::set:
      session.values[statement.name] = statement.value;
      if (session.transaction) session.transaction->stateApplied = true;
      break;
    case StatementKind::prepareRead:
    case StatementKind::prepareWrite:
      session.prepared[statement.name] = PreparedStatement{statement.kind == StatementKind::prepareWrite, statement.value};
      break;
    case StatementKind::discard:
      if (session.prepared.erase(statement.name) == 0) return refuse(StatementFault::unknownName, "no such prepared name", reply.state);
      break;
    default:
      return refuse(StatementFault::malformed, "not a statement of clients", reply.state);
  }
  return reply;
}

StatementReply Pooler::begin(ClientSession& session, const Statement& statement) {
  if (drain_.transactionsOver()) return refuse(StatementFault::busy, leavingReason);
  auto found = route(session.host);
  if (!found) return refuse(guide_.routesKnown() ? StatementFault::noDatabase : StatementFault::busy, "no route to this database now");
  ClientTransaction transaction;
  transaction.begin = statement;
  transaction.kind = found->name;
  transaction.readOnly = statement.kind == StatementKind::beginRead;
  session.transaction = std::move(transaction);
  return localReply(TransactionState::open);
}

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
  bool routesChanged = false;
  for (const auto& [name, view] : guide_.services()) {
    for (const auto& [database, info] : view.databases) known.insert(database);
    routesChanged = routesChanged || routeMarks_[name] != view.mark;
    routeMarks_[name] = view.mark;
  }
  if (std::erase_if(routeMarks_, [&](const auto& each) {
        return !guide_.services().contains(each.first);
      }) > 0)
    routesChanged = true;
  if (routesChanged) {
    routesByHost_.clear();
    for (const auto& [name, view] : guide_.services()) {
      if (!view.plan) continue;
      for (const auto& [kindName, kind] : view.plan->kinds)
        if (!kind.host.empty()) routesByHost_[kind.host].push_back(kindName);
    }
  }
  auto reason = notReadyReason().value_or("");
  if (reason != notReadyReason_) journal_.line(reason.empty() ? "ready" : "not ready: " + reason);
  notReadyReason_ = reason;
  pool_.retainOnly(known);
  pool_.decayStatistics();
  pool_.suspectSilent(settings_.suspicionTimeout);
  for (const auto& [name, view] : guide_.services()) superviseService(name, view);
  for (const auto& [name, tracker] : trackers_)
    if (!guide_.service(name) && clock_.now() - tracker.lastLeasedAt > settings_.timings.connectionsKept) pool_.closeAll(name);
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
  superviseDrain();
  assignConnections();
  failures_.endQuietEpisodes(clock_.now());
  supervised_.open();
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

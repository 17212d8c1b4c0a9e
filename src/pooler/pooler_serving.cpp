#include <algorithm>

#include "pooler/pooler.hpp"

namespace tamarindshift {

void Pooler::assignConnections() {
  if (std::exchange(assigning_, true)) {
    assignAgain_ = true;
    return;
  }
  do {
    assignAgain_ = false;
    claimedOpens_.clear();
    if (!requests_.empty())
      for (const auto& request : requests_.waiting()) assignConnection(request);
  } while (assignAgain_);
  assigning_ = false;
}

void Pooler::assignConnection(const ConnectionRequestQueue::Request& request) {
  auto found = routeNamed(request->kind);
  if (!found)
    return requests_.refuse(request, guide_.routesKnown() ? StatementFault::noDatabase : StatementFault::busy, "the route is gone");
  const auto& service = found->kind->service;
  if (noMoreConnections(service, *found->service)) return requests_.refuse(request, StatementFault::busy, leavingReason);
  if (!guide_.leased(service)) {
    if (cutOff())
      requests_.refuse(request, StatementFault::busy, "this node is cut off");
    else if (leaseLapsedLong(service) && clock_.now() >= lapsedWaitUntil(*request))
      requests_.refuse(request, StatementFault::busy, "no lease for too long");
    return;
  }
  const auto& view = *found->service;
  std::optional<LogPosition> minPosition;
  auto databases = candidates(*request, *found, minPosition);
  if (databases.empty() && !request->rationed && anyRationed(view, *request)) {
    request->rationed = true;
    journal_.count("statements.rationed");
  }
  auto grant = [&](const Connection& connection) {
    connection->asPrimary = request->atPrimary || !minPosition;
    connection->epoch = view.primary.epoch;
    connection->order = request->order;
    if (!connection->asPrimary) request->minPosition = minPosition;
    journal_.check(Invariant::connectionHeldOnce, connection->holder == nullptr, [&] {
      return "a connection to " + connection->target.database.get() + " was granted while another session held it";
    });
    connection->holder = request->session;
    requests_.grant(request, connection);
  };
  for (const auto& database : databases)
    if (pool_.forDatabase(database).busy.size() < connectionLimit(service, view))
      if (auto idle = pool_.takeIdle(database, *request->session, request->neededName, request->neededPrepared)) return grant(idle);
  // a request either counts on a connection that is being opened for no other one, or opens one
  for (const auto& database : databases) {
    auto& claimed = claimedOpens_[database];
    if (claimed < pool_.forDatabase(database).opening) {
      ++claimed;
      return;
    }
    if (!pool_.canOpen(database, connectionLimit(service, view))) continue;
    DatabaseTarget target{service, database, view.databases.at(database).address};
    pool_.open(target, settings_.suspicionTimeout * 2);
    ++claimed;
    return;
  }
}

bool Pooler::rationed(const ServiceDirectory::ServiceView& view, const DatabaseName& database, std::uint32_t order) const {
  auto ration = view.rations.find(database);
  if (ration == view.rations.end() || order <= ration->second.freeThrough) return false;
  const auto* databasePool = pool_.find(database);
  return (databasePool ? databasePool->busyAboveOrder(ration->second.freeThrough) : 0) >= ration->second.laterLimitAt(settings_.node);
}

bool Pooler::anyRationed(const ServiceDirectory::ServiceView& view, const ConnectionRequest& request) const {
  return std::any_of(view.rations.begin(), view.rations.end(), [&](const auto& each) {
    return (!request.atPrimary || each.first == view.primary.primary) && rationed(view, each.first, request.order);
  });
}

// Running work is averaged over the time since the last measurement; waiting work is counted as of now.
void Pooler::measureDemand() {
  auto now = clock_.now();
  auto since = now - demandMeasuredAt_;
  if (since < minDemandWindow) return;
  for (auto& [name, tracker] : trackers_) tracker.demands.clear();
  auto tenths = [since](Duration runTime) {
    return static_cast<std::uint32_t>((runTime.count() * demandUnitsPerConnection + since.count() / 2) / since.count());
  };
  for (const auto& [name, view] : guide_.services())
    for (const auto& [database, info] : view.databases) {
      auto& databasePool = pool_.forDatabase(database);
      for (const auto& connection : databasePool.busy)
        if (connection->running) databasePool.runTime[connection->order] += now - std::max(connection->usedAt, demandMeasuredAt_);
      for (const auto& [order, runTime] : std::exchange(databasePool.runTime, {}))
        if (auto amount = tenths(runTime); amount > 0) trackers_[name].demands[database][order] += amount;
    }
  for (const auto& request : requests_.waiting()) {
    auto found = routeNamed(request->kind);
    if (!found) continue;
    auto& demands = trackers_[found->kind->service].demands;
    if (request->atPrimary)
      demands[found->service->primary.primary][request->order] += demandUnitsPerConnection;
    else
      for (const auto& [database, ration] : found->service->rations) demands[database][request->order] += demandUnitsPerConnection;
  }
  demandMeasuredAt_ = now;
}

std::vector<DatabaseName> Pooler::candidates(const ConnectionRequest& request, const Route& route,
                                             std::optional<LogPosition>& minPosition) const {
  const auto& view = *route.service;
  const auto& primary = view.primary.primary;
  auto usable = [&](const DatabaseName& database) {
    const auto* databasePool = pool_.find(database);
    return view.databases.contains(database) && !view.drained.contains(database) && !(databasePool && databasePool->suspected) &&
           !rationed(view, database, request.order);
  };
  bool primaryServes = view.primary.promoted && usable(primary);
  std::vector<DatabaseName> chosen;
  if (!request.atPrimary) {
    auto tracker = trackers_.find(route.kind->service);
    if (tracker != trackers_.end())
      minPosition = tracker->second.primaryPositions.covering(request.arrivedAt - route.kind->stalenessBound());
    if (auto own = request.session->lastCommitPositions.find(route.kind->service);
        minPosition && own != request.session->lastCommitPositions.end())
      minPosition = std::max(*minPosition, own->second);
  }
  if (!minPosition) {
    if (primaryServes) chosen.push_back(primary);
    return chosen;
  }
  auto now = clock_.now();
  // Lower is better: an estimate of the time that the database takes plus penalties for another zone, for
  // errors and for the primary. The last two additions put databases that lag or have failed before behind all others.
  std::vector<std::pair<double, DatabaseName>> scored;
  for (const auto& [database, info] : view.databases) {
    if (!usable(database) || (database == primary && !primaryServes)) continue;
    const auto* databasePool = pool_.find(database);
    double busy = databasePool ? static_cast<double>(databasePool->busy.size() + databasePool->opening) : 0;
    double latency = databasePool ? std::max(databasePool->meanLatencyMicros, 1000.0) : 8000;
    double score = (busy + 1) * latency;
    if (info.zone != settings_.zone) score = score * 2 + 1000;
    if (databasePool) score *= 1 + 20 * databasePool->errorRate;
    if (database == primary) score = score * 3 + 5000;
    if (databasePool && databasePool->behindUntil > now && databasePool->logPosition < *minPosition) score += 1e9;
    if (request.avoid.contains(database)) score += 1e10;
    scored.emplace_back(score, database);
  }
  std::sort(scored.begin(), scored.end());
  for (const auto& [score, database] : scored)
    if (chosen.empty() || score <= 3 * scored.front().first) chosen.push_back(database);
  return chosen;
}

Instant Pooler::lapsedWaitUntil(const ConnectionRequest& request) const {
  return request.arrivedAt + statementTimeout(request.kind) * settings_.lapsedWaitPercent / 100;
}

Task<Pooler::Acquired> Pooler::acquire(Session session, KindName kind, bool atPrimary, const Statement* executes, Instant arrived,
                                       Instant deadline, std::set<DatabaseName> avoid) {
  auto request = std::make_shared<ConnectionRequest>();
  request->session = session.get();
  request->kind = kind;
  request->atPrimary = atPrimary;
  request->arrivedAt = arrived;
  request->requestedAt = clock_.now();
  // waiting for a connection takes at most 45 % of the statement's timeout
  request->waitUntil = std::min(deadline, arrived + statementTimeout(kind) * 45 / 100);
  request->avoid = std::move(avoid);
  if (executes) {
    request->neededName = executes->name;
    request->neededPrepared = &session->prepared.at(executes->name);
  }
  if (auto found = routeNamed(kind)) {
    session->trace.service = found->kind->service;
    request->order = found->kind->order;
    trackers_[found->kind->service].lastWorkAt = clock_.now();
  }
  if (requests_.size() >= settings_.maxWaiting) co_return Acquired{nullptr, std::nullopt, StatementFault::busy, "too many statements wait"};
  requests_.add(request);
  assignConnections();
  while (request->state == ConnectionRequestState::waiting) {
    auto found = routeNamed(kind);
    bool lapsed = found && leaseLapsedLong(found->kind->service);
    co_await request->decided.wait(clock_, lapsed ? lapsedWaitUntil(*request) : request->waitUntil);
    if (lapsed) assignConnections();
    if (request->state == ConnectionRequestState::waiting && clock_.now() >= request->waitUntil)
      requests_.refuse(request, StatementFault::busy, waitReason(*request));
  }
  session->trace.waited += clock_.now() - request->requestedAt;
  co_return Acquired{request->connection, request->minPosition, request->fault, request->reason};
}

bool Pooler::mayRunOn(const Connection& connection, const KindName& kind, bool inTransaction) const {
  if (connection->dropped || !connection->link->usable()) return false;
  if (inTransaction && drain_.transactionsOver()) return false;
  const auto& service = connection->target.service;
  const auto* view = guide_.service(service);
  if (!view || !guide_.leased(service) || !view->databases.contains(connection->target.database)) return false;
  if (!inTransaction) {
    auto found = routeNamed(kind);
    if (!found || found->kind->service != service || view->drained.contains(connection->target.database)) return false;
  }
  if (!connection->asPrimary) return true;
  if (connection->epoch == view->primary.epoch) return view->primary.promoted && view->primary.primary == connection->target.database;
  return inTransaction && mayAcknowledge(connection) && clock_.now() < trackers_.at(service).finishUntil;
}

bool Pooler::mayAcknowledge(const Connection& connection) const {
  if (!connection->asPrimary) return true;
  const auto& service = connection->target.service;
  const auto* view = guide_.service(service);
  if (!view || !guide_.leased(service)) return false;
  if (connection->epoch == view->primary.epoch) return true;
  auto tracker = trackers_.find(service);
  bool finishing = tracker != trackers_.end() && tracker->second.confirmedEpoch < view->primary.epoch &&
                   clock_.now() < tracker->second.previousLeaseUntil;
  return finishing && view->primary.plannedSwitchover && Epoch{connection->epoch.get() + 1} == view->primary.epoch;
}

Duration Pooler::attemptTimeout(const Connection& connection, const KindName& kind, int attempt) const {
  auto usual = usualLatencyMicros_.find(kind);
  const auto* databasePool = pool_.find(connection->target.database);
  if (usual == usualLatencyMicros_.end() || !databasePool) return statementTimeout(kind);
  auto expected = 8 * std::max(usual->second, databasePool->meanLatencyMicros);
  auto minimum = settings_.minAttemptTimeout;
  if (auto found = routeNamed(kind); found && found->kind->targetLatency)
    minimum = std::max<Duration>(minimum, *found->kind->targetLatency / 2);
  return std::max(minimum, Duration{static_cast<Duration::rep>(expected)}) * (1 << std::min(attempt, 4));
}

void Pooler::noteLatency(const KindName& kind, Duration latency) {
  auto micros = static_cast<double>(latency.count());
  auto [usual, inserted] = usualLatencyMicros_.try_emplace(kind, micros);
  if (!inserted) usual->second += (micros - usual->second) * 0.05;
}

Task<BackEndReply> Pooler::runOn(ClientSession* session, Connection connection, Statement statement, std::optional<LogPosition> minPosition,
                                 Instant deadline) {
  auto askedAt = clock_.now();
  checkSending(session, connection, statement);
  const auto& target = connection->target;
  const auto* view = guide_.service(target.service);
  bool isPrimary = view && guide_.leased(target.service) && view->primary.promoted && view->primary.primary == target.database;
  connection->running = true;
  connection->usedAt = askedAt;
  bool durable = session && makesDurable(*session, statement);
  auto reply = co_await connection->link->run(std::move(statement), minPosition, deadline);
  connection->running = false;
  if (session) noteAttempt(*session, connection, reply, askedAt, durable);
  pool_.forDatabase(target.database).runTime[connection->order] += clock_.now() - std::max(askedAt, demandMeasuredAt_);
  if (!connection->dropped) {
    bool succeeded =
        reply.outcome == BackEndOutcome::replied && reply.fault != StatementFault::failed && reply.fault != StatementFault::timedOut;
    pool_.noteOutcome(target.database, succeeded);
  }
  if (reply.outcome == BackEndOutcome::replied) {
    pool_.noteReply(target.database, clock_.now() - askedAt);
    auto& databasePool = pool_.forDatabase(target.database);
    if (reply.logPosition) databasePool.logPosition = std::max(databasePool.logPosition, *reply.logPosition);
    if (reply.fault == StatementFault::behind) databasePool.behindUntil = clock_.now() + 150ms;
    if (isPrimary && reply.logPosition && reply.fault != StatementFault::readOnly)
      trackers_[target.service].primaryPositions.record(askedAt, *reply.logPosition);
  } else if (connection->dropped) {
    pool_.drop(connection);
  } else if (reply.outcome == BackEndOutcome::lost && clock_.now() >= deadline) {
    pool_.noteTimeout(target.database);
  } else if (reply.outcome == BackEndOutcome::lost && guide_.leased(target.service)) {
    // replace the lost connection
    const auto* current = guide_.service(target.service);
    if (current && pool_.forDatabase(target.database).opening == 0 &&
        pool_.canOpen(target.database, connectionLimit(target.service, *current)))
      pool_.open(target, settings_.suspicionTimeout);
  }
  co_return reply;
}

Task<bool> Pooler::applySessionState(Session session, Connection connection, const Statement* executes, Instant deadline) {
  std::vector<Statement> steps;
  // a variable can't be unset by itself, so one that the session does not have takes a RESET
  bool hasExtraValues = std::any_of(connection->values.begin(), connection->values.end(), [&](const auto& each) {
    return !session->values.contains(each.first);
  });
  if (hasExtraValues || connection->stateUnknown) {
    connection->values.clear();
    connection->prepared.clear();
    connection->stateUnknown = true;
    steps.push_back(Statement{StatementKind::reset, {}, {}, {}, {}});
  }
  for (const auto& [name, value] : session->values)
    if (auto existing = connection->values.find(name); existing == connection->values.end() || existing->second != value)
      steps.push_back(Statement{StatementKind::set, {}, {}, name, value});
  if (executes) {
    const auto& wanted = session->prepared.at(executes->name);
    auto existing = connection->prepared.find(executes->name);
    if (existing != connection->prepared.end() && existing->second != wanted)
      steps.push_back(Statement{StatementKind::discard, {}, {}, executes->name, {}});
    if (existing == connection->prepared.end() || existing->second != wanted)
      steps.push_back(
          Statement{wanted.writes ? StatementKind::prepareWrite : StatementKind::prepareRead, {}, {}, executes->name, wanted.shape});
  }
  for (const auto& step : steps) {
    auto reply = co_await runOn(session.get(), connection, step, std::nullopt, deadline);
    journal_.count("pool.conformed");
    if (session->transaction && session->transaction->connection == connection) session->transaction->stateApplied = true;
    if (reply.outcome != BackEndOutcome::replied || reply.fault != StatementFault::none) co_return false;
    if (step.kind == StatementKind::reset) connection->stateUnknown = false;
    if (step.kind == StatementKind::set) connection->values[step.name] = step.value;
    if (step.kind == StatementKind::discard) connection->prepared.erase(step.name);
    if (step.kind == StatementKind::prepareRead || step.kind == StatementKind::prepareWrite)
      connection->prepared[step.name] = PreparedStatement{step.kind == StatementKind::prepareWrite, step.value};
  }
  co_return true;
}

}  // namespace tamarindshift

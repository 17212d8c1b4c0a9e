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

}  // namespace tamarindshift

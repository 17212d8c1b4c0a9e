#include "pooler/pooler.hpp"

#include <algorithm>

namespace tamarindshift {

Pooler::Pooler(Clock& clock, Guide& guide, BackEnds& backEnds, Journal& journal, PoolerSettings settings, std::uint64_t boot,
               Reports reports)
    : clock_(clock),
      guide_(guide),
      journal_(journal),
      settings_(std::move(settings)),
      boot_(boot),
      reports_(std::move(reports)),
      pool_(
          clock, backEnds, journal,
          [this] {
            serve();
          },
          [this](const DatabaseTarget& target) {
            return fits(target);
          }),
      failures_(journal),
      startedAt_(clock.now()) {
  scope_.spawn(watch());
  scope_.spawn(report());
}

std::shared_ptr<ClientSession> Pooler::open(const std::string& host, StatementReply& refusal) {
  if (closing() || sessions_.size() >= settings_.sessions) {
    refusal = refused(StatementFault::busy, closing() ? "this node is leaving" : "too many sessions");
    return nullptr;
  }
  if (!route(host)) {
    refusal =
        guide_.routesKnown() ? refused(StatementFault::noDatabase, "no such database") : refused(StatementFault::busy, "no current lease");
    return nullptr;
  }
  auto session = std::make_shared<ClientSession>();
  session->host = host;
  session->usedAt = clock_.now();
  sessions_.insert(session);
  journal_.count("sessions.opened");
  return session;
}

Task<std::shared_ptr<ClientSession>> Pooler::openWhenKnown(std::string host, StatementReply& refusal) {
  auto until = clock_.now() + settings_.setupPatience;
  for (;;) {
    auto session = open(host, refusal);
    bool mayCome =
        refusal.fault == StatementFault::busy && !closing() && !cutOff() && !lapsedLong() && sessions_.size() < settings_.sessions;
    if (session || !mayCome || clock_.now() >= until) co_return session;
    co_await cared_.wait(clock_, until);
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
  checkEnded(*session);
  noteFailure(*session, reply);
  co_return reply;
}

Task<StatementReply> Pooler::runStatement(Session session, Statement statement) {
  StatementReply reply;
  bool untold = session->transaction && session->transaction->failed && !std::exchange(session->transaction->told, true);
  bool ends = statement.kind == StatementKind::commit || statement.kind == StatementKind::rollback;
  if (untold && !ends) {
    reply = refused(StatementFault::aborted, "the transaction was ended", TransactionState::failed);
  } else if (auto fault = invalid(*session, statement)) {
    auto state = !session->transaction          ? TransactionState::idle
                 : session->transaction->failed ? TransactionState::failed
                                                : TransactionState::open;
    reply = refused(*fault, "not possible in this state", state);
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
        reply = keepLocally(*session, statement);
    }
  }
  if (session->transaction && session->transaction->failed) session->transaction->told = true;
  co_return reply;
}

void Pooler::gone(const Session& session) {
  if (session->transaction) rollback(session);
  sessions_.erase(session);
}

void Pooler::drain() {
  if (drainingSince_) return;
  drainingSince_ = clock_.now();
  journal_.line("leaves");
}

bool Pooler::closing() const {
  return drainingSince_ && clock_.now() - *drainingSince_ > settings_.drainServes;
}

bool Pooler::stopped() const {
  if (!closing()) return false;
  auto since = clock_.now() - *drainingSince_;
  return sessions_.empty() || since > settings_.timings.stop - 700ms;
}

bool Pooler::cutOff() const {
  return leasedAt_ && lapsedFor(*leasedAt_) > settings_.lapsePatience && lapsedFor(guide_.coreRepliedAt()) > 2 * settings_.lapsePatience;
}

// a process that starts, or stood still, has had no time to hear of a lease
Duration Pooler::lapsedFor(Instant leasedAt) const {
  if (stalledSince(clock_.now())) return Duration::zero();
  return clock_.now() - std::max({leasedAt, startedAt_, stalledAt_});
}

bool Pooler::lapsedLong(const ServiceName& service) const {
  if (guide_.leased(service)) return false;
  auto watch = watches_.find(service);
  return lapsedFor(watch == watches_.end() ? Instant{} : watch->second.leasedAt) > settings_.lapseHold;
}

bool Pooler::lapsedLong() const {
  return !guide_.servicesKnown() && lapsedFor(leasedAt_.value_or(Instant{})) > settings_.lapseHold;
}

std::optional<std::string> Pooler::notReady() const {
  if (draining()) return "this node is leaving";
  if (!guide_.servicesKnown()) return "no news of every service under a lease";
  bool works = guide_.services().empty();
  for (const auto& [name, view] : guide_.services()) works = works || allowed(name, view) > 0;
  if (!works) return "no share of any service yet";
  return std::nullopt;
}

std::uint32_t Pooler::allowed(const ServiceName& name, const Guide::ServiceView& view) const {
  auto watch = watches_.find(name);
  if (watch == watches_.end() || clock_.now() - watch->second.leasedAt > settings_.timings.connectionsKept) return 0;
  std::uint32_t sum = 0;
  for (const auto& [branch, most] : view.share.most) sum += most;
  return sum;
}

bool Pooler::fits(const DatabaseTarget& target) const {
  const auto* view = guide_.service(target.service);
  const auto* shelf = pool_.find(target.database);
  return view && (!shelf || shelf->total() < allowed(target.service, *view));
}

std::optional<std::uint64_t> Pooler::limit(const std::string& name) const {
  auto found = guide_.limits().find(name);
  if (found == guide_.limits().end()) return std::nullopt;
  return found->second;
}

std::optional<Pooler::Route> Pooler::route(const std::string& host) const {
  auto found = hosts_.find(host);
  if (found == hosts_.end()) return std::nullopt;
  for (const auto& name : found->second)
    if (auto named = routeNamed(name)) return named;
  return std::nullopt;
}

std::optional<Pooler::Route> Pooler::routeNamed(const KindName& name) const {
  auto view = guide_.kind(name);
  if (!view.kind) return std::nullopt;
  return Route{name, view.kind, view.service};
}

Duration Pooler::statementBound(const KindName& kind) const {
  auto found = routeNamed(kind);
  return found && found->kind->statement ? *found->kind->statement : settings_.timings.queuePatience;
}

StatementReply Pooler::refused(StatementFault fault, std::string reason, TransactionState state) {
  journal_.count("statements.refused");
  journal_.count("refused: " + reason);
  StatementReply reply;
  reply.fault = fault;
  reply.reason = std::move(reason);
  reply.state = state;
  if (fault == StatementFault::busy || fault == StatementFault::aborted) reply.comeBack = settings_.timings.comeBack;
  return reply;
}

StatementReply Pooler::passed(BackEndReply reply) const {
  StatementReply given;
  given.fault = reply.fault;
  given.reason = std::move(reply.reason);
  given.rows = std::move(reply.rows);
  given.stamp = std::move(reply.stamp);
  given.state = reply.state;
  return given;
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

StatementReply Pooler::keepLocally(ClientSession& session, const Statement& statement) {
  auto reply = answeredHere(session.transaction ? TransactionState::open : TransactionState::idle);
  switch (statement.kind) {
    case StatementKind::set:
      session.values[statement.name] = statement.value;
      if (session.transaction) session.transaction->laid = true;
      break;
    case StatementKind::prepareRead:
    case StatementKind::prepareWrite:
      session.prepared[statement.name] = PreparedStatement{statement.kind == StatementKind::prepareWrite, statement.value};
      break;
    case StatementKind::discard:
      if (session.prepared.erase(statement.name) == 0) return refused(StatementFault::unknownName, "no such prepared name", reply.state);
      break;
    default:
      return refused(StatementFault::malformed, "not a statement of clients", reply.state);
  }
  return reply;
}

StatementReply Pooler::begin(ClientSession& session, const Statement& statement) {
  auto found = route(session.host);
  if (!found) return refused(guide_.routesKnown() ? StatementFault::noDatabase : StatementFault::busy, "no route to this database now");
  ClientTransaction transaction;
  transaction.begin = statement;
  transaction.kind = found->name;
  transaction.readOnly = statement.kind == StatementKind::beginRead;
  session.transaction = std::move(transaction);
  return answeredHere(TransactionState::open);
}

Task<void> Pooler::watch() {
  for (;;) {
    auto& changed = guide_.changed();
    co_await changed.wait(clock_, clock_.now() + (changing() ? 10ms : pool_.doubting() ? 50ms : 100ms));
    care();
  }
}

bool Pooler::changing() const {
  return std::any_of(watches_.begin(), watches_.end(), [](const auto& each) {
    return each.second.confirmed != each.second.seen;
  });
}

void Pooler::care() {
  auto before = std::exchange(caredAt_, clock_.now());
  if (caredAt_ - before > stallPause) stalledAt_ = caredAt_;
  guide_.refresh();
  planVersions_.observe(guide_.planMark());
  if (guide_.servicesKnown()) leasedAt_ = clock_.now();
  std::set<DatabaseName> known;
  bool routesChanged = false;
  for (const auto& [name, view] : guide_.services()) {
    for (const auto& [database, news] : view.databases) known.insert(database);
    routesChanged = routesChanged || hostsAt_[name] != view.mark;
    hostsAt_[name] = view.mark;
  }
  if (std::erase_if(hostsAt_, [&](const auto& each) {
        return !guide_.services().contains(each.first);
      }) > 0)
    routesChanged = true;
  if (routesChanged) {
    hosts_.clear();
    for (const auto& [name, view] : guide_.services()) {
      if (!view.plan) continue;
      for (const auto& [kindName, kind] : view.plan->kinds)
        if (!kind.host.empty()) hosts_[kind.host].push_back(kindName);
    }
  }
  auto hindrance = notReady().value_or("");
  if (hindrance != hindrance_) journal_.line(hindrance.empty() ? "ready" : "not ready: " + hindrance);
  hindrance_ = hindrance;
  pool_.forget(known);
  pool_.mellow();
  pool_.watch(settings_.suspicion);
  for (const auto& [name, view] : guide_.services()) careService(name, view);
  for (const auto& [name, watch] : watches_)
    if (!guide_.service(name) && clock_.now() - watch.leasedAt > settings_.timings.connectionsKept) pool_.closeAll(name);
  auto now = clock_.now();
  bool halfOver = drainingSince_ && now - *drainingSince_ > settings_.timings.stopTransactions;
  for (const auto& session : sessions_) {
    if (!session->transaction || session->busy || session->transaction->failed) continue;
    auto rests = limit("idle-transaction-ms");
    bool tooLong = rests && now - session->usedAt > std::chrono::milliseconds{*rests};
    if (halfOver || tooLong) {
      journal_.count("transactions.rested_too_long");
      failTransaction(*session);
    }
  }
  serve();
  failures_.review(clock_.now());
  cared_.open();
}

void Pooler::careService(const ServiceName& name, const Guide::ServiceView& view) {
  auto& watch = watches_[name];
  auto now = clock_.now();
  bool leased = guide_.leased(name);
  if (now - watch.leasedAt > settings_.timings.connectionsKept) pool_.closeAll(name);
  if (leased) watch.leasedAt = now;
  if (view.primary.epoch != watch.seen) {
    bool first = watch.seen == Epoch{};
    watch.finishUntil = view.primary.planned ? now + settings_.plannedFinish : now;
    if (!first && !view.primary.planned && watch.primary != view.primary.primary) pool_.closeIdle(watch.primary);
    watch.seen = view.primary.epoch;
    watch.primary = view.primary.primary;
  }
  if (watch.confirmed != watch.seen) {
    bool runs = false;
    for (const auto& [database, shelf] : pool_.shelves())
      for (const auto& connection : shelf.busy)
        if (connection->target.service == name && connection->asPrimary && connection->epoch < watch.seen) runs = true;
    if (runs && now >= watch.finishUntil)
      for (const auto& [database, news] : view.databases)
        pool_.cutBusy(database, true, watch.seen, view.primary.planned && now < watch.finishUntil + settings_.plannedFinish);
    if (!runs) {
      watch.confirmed = watch.seen;
      sendReport();
    }
  }
  bool within = true;
  for (const auto& [database, news] : view.databases) {
    auto& shelf = pool_.shelf(database);
    pool_.trim(database, allowed(name, view));
    within = within && shelf.total() <= allowed(name, view);
    if (leased && shelf.suspect && now - shelf.trialAt > 500ms && pool_.mayOpen(database, allowed(name, view))) {
      shelf.trialAt = now;
      DatabaseTarget target{name, database, news.address};
      pool_.open(target, 400ms);
    }
    bool told = watch.suspects.contains(database) == shelf.suspect && watch.strained.contains(database) == shelf.strained();
    if (told) continue;
    auto mark = [&database](std::set<DatabaseName>& marked, bool is) {
      is ? void(marked.insert(database)) : void(marked.erase(database));
    };
    mark(watch.suspects, shelf.suspect);
    mark(watch.strained, shelf.strained());
    sendReport();
  }
  if (within) watch.followed = view.mark;
}

void Pooler::sendReport() {
  reportDue_ = true;
  reportNow_.open();
}

NodeReport Pooler::reportNow() {
  NodeReport report;
  report.node = settings_.node;
  report.zone = settings_.zone;
  report.boot = boot_;
  report.draining = closing();
  report.mark = guide_.planMark();
  auto now = clock_.now();
  noteDemands();
  for (const auto& [name, view] : guide_.services()) {
    if (!view.plan) continue;
    auto& watch = watches_[name];
    auto& own = report.services[name];
    own.followed = watch.followed;
    own.epoch = watch.confirmed;
    if (view.plan->service.keepsAcknowledged()) own.acknowledged = watch.acknowledged;
    own.suspects = watch.suspects;
    own.strained = watch.strained;
    own.demands = watch.demands;
    own.working = now - watch.workedAt < 1s;
    std::size_t held = 0;
    for (const auto& [database, news] : view.databases)
      if (const auto* shelf = pool_.find(database)) held = std::max(held, shelf->busy.size());
    watch.demand = std::max(static_cast<double>(held), watch.demand * 0.9);
    if (auto until = guide_.leaseUntil(name)) report.lease = std::max(report.lease, *until - now);
    for (const auto& [branch, planned] : view.plan->service.branches)
      own.wanted[branch] = closing() ? 0 : static_cast<std::uint32_t>(watch.demand + 1.5);
  }
  return report;
}

NodeReport Pooler::whatChanged(NodeReport report) {
  auto now = clock_.now();
  report.whole = now - toldWholeAt_ > 2 * settings_.timings.report || notReady();
  if (report.whole) {
    toldWholeAt_ = now;
    told_ = report.services;
    return report;
  }
  auto alike = [](const auto& left, const auto& right) {
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
  auto same = [alike](const ServiceReport& left, const ServiceReport& right) {
    bool wants = std::all_of(right.wanted.begin(), right.wanted.end(), [&](const auto& each) {
      auto before = left.wanted.find(each.first);
      return before != left.wanted.end() && each.second <= before->second + 1 && before->second <= each.second + 2;
    });
    return wants && alike(left.demands, right.demands) &&
           std::tie(left.epoch, left.followed, left.acknowledged, left.suspects, left.strained, left.working) ==
               std::tie(right.epoch, right.followed, right.acknowledged, right.suspects, right.strained, right.working);
  };
  std::erase_if(report.services, [&](const auto& each) {
    auto before = told_.find(each.first);
    return before != told_.end() && same(before->second, each.second);
  });
  for (const auto& [name, own] : report.services) told_[name] = own;
  return report;
}

Task<void> Pooler::report() {
  for (;;) {
    reportDue_ = false;
    reports_(whatChanged(reportNow()));
    co_await sleep(clock_, 20ms);
    if (!reportDue_) co_await reportNow_.wait(clock_, clock_.now() + settings_.timings.report);
  }
}

}  // namespace tamarindshift

#include <algorithm>

#include "pooler/pooler.hpp"

namespace tamarindshift {

void Pooler::serve() {
  if (std::exchange(serving_, true)) {
    serveAgain_ = true;
    return;
  }
  do {
    serveAgain_ = false;
    claimed_.clear();
    if (!demands_.empty())
      for (const auto& demand : demands_.waiting()) serveOne(demand);
  } while (serveAgain_);
  serving_ = false;
}

void Pooler::serveOne(const DemandTable::Record& demand) {
  auto found = routeNamed(demand->kind);
  if (!found) return demands_.refuse(demand, guide_.routesKnown() ? StatementFault::noDatabase : StatementFault::busy, "the route is gone");
  const auto& service = found->kind->service;
  if (!guide_.leased(service)) {
    if (cutOff())
      demands_.refuse(demand, StatementFault::busy, "this node is cut off");
    else if (lapsedLong(service) && clock_.now() >= holdLapsedUntil(*demand))
      demands_.refuse(demand, StatementFault::busy, "no lease for too long");
    return;
  }
  const auto& view = *found->service;
  std::optional<Place> after;
  auto databases = candidates(*demand, *found, after);
  if (databases.empty() && !demand->rationed && anyRationed(view, *demand)) {
    demand->rationed = true;
    journal_.count("statements.rationed");
  }
  auto grant = [&](const Connection& connection) {
    connection->asPrimary = demand->atPrimary || !after;
    connection->epoch = view.primary.epoch;
    connection->order = demand->order;
    if (!connection->asPrimary) demand->after = after;
    journal_.check(Invariant::connectionHeldOnce, connection->holder == nullptr, [&] {
      return "a connection to " + connection->target.database.get() + " was granted while another session held it";
    });
    connection->holder = demand->session;
    demands_.grant(demand, connection);
  };
  for (const auto& database : databases)
    if (pool_.shelf(database).busy.size() < allowed(service, view))
      if (auto idle = pool_.takeIdle(database, *demand->session, demand->preparedName, demand->wantsPrepared)) return grant(idle);
  for (const auto& database : databases) {
    auto& claimed = claimed_[database];
    if (claimed < pool_.shelf(database).opening) {
      ++claimed;
      return;
    }
    if (!pool_.mayOpen(database, allowed(service, view))) continue;
    DatabaseTarget target{service, database, view.databases.at(database).address};
    pool_.open(target, settings_.suspicion * 2);
    ++claimed;
    return;
  }
}

bool Pooler::rationed(const Guide::ServiceView& view, const DatabaseName& database, std::uint32_t order) const {
  auto ration = view.rations.find(database);
  if (ration == view.rations.end() || order <= ration->second.freeThrough) return false;
  const auto* shelf = pool_.find(database);
  return (shelf ? shelf->busyAfter(ration->second.freeThrough) : 0) >= ration->second.laterLimitAt(settings_.node);
}

bool Pooler::anyRationed(const Guide::ServiceView& view, const Demand& demand) const {
  return std::any_of(view.rations.begin(), view.rations.end(), [&](const auto& each) {
    return (!demand.atPrimary || each.first == view.primary.primary) && rationed(view, each.first, demand.order);
  });
}

// Running connections are a mean over the time since the last look; waiting work is what waits now.
void Pooler::noteDemands() {
  auto now = clock_.now();
  auto since = now - demandsSince_;
  if (since < leastDemandTime) return;
  for (auto& [name, watch] : watches_) watch.demands.clear();
  auto tenths = [since](Duration ran) {
    return static_cast<std::uint32_t>((ran.count() * demandUnitsPerConnection + since.count() / 2) / since.count());
  };
  for (const auto& [name, view] : guide_.services())
    for (const auto& [database, news] : view.databases) {
      auto& shelf = pool_.shelf(database);
      for (const auto& connection : shelf.busy)
        if (connection->running) shelf.ran[connection->order] += now - std::max(connection->usedAt, demandsSince_);
      for (const auto& [order, ran] : std::exchange(shelf.ran, {}))
        if (auto amount = tenths(ran); amount > 0) watches_[name].demands[database][order] += amount;
    }
  for (const auto& demand : demands_.waiting()) {
    auto found = routeNamed(demand->kind);
    if (!found) continue;
    auto& demands = watches_[found->kind->service].demands;
    if (demand->atPrimary)
      demands[found->service->primary.primary][demand->order] += demandUnitsPerConnection;
    else
      for (const auto& [database, ration] : found->service->rations) demands[database][demand->order] += demandUnitsPerConnection;
  }
  demandsSince_ = now;
}

std::vector<DatabaseName> Pooler::candidates(const Demand& demand, const Route& route, std::optional<Place>& after) const {
  const auto& view = *route.service;
  const auto& primary = view.primary.primary;
  auto usable = [&](const DatabaseName& database) {
    const auto* shelf = pool_.find(database);
    return view.databases.contains(database) && !view.drained.contains(database) && !(shelf && shelf->suspect) &&
           !rationed(view, database, demand.order);
  };
  bool primaryServes = view.primary.promoted && usable(primary);
  std::vector<DatabaseName> chosen;
  if (!demand.atPrimary) {
    auto watch = watches_.find(route.kind->service);
    if (watch != watches_.end()) after = watch->second.freshness.covering(demand.arrivedAt - route.kind->stalenessBound());
    if (auto own = demand.session->own.find(route.kind->service); after && own != demand.session->own.end())
      after = std::max(*after, own->second);
  }
  if (!after) {
    if (primaryServes) chosen.push_back(primary);
    return chosen;
  }
  auto now = clock_.now();
  std::vector<std::pair<double, DatabaseName>> scored;
  for (const auto& [database, news] : view.databases) {
    if (!usable(database) || (database == primary && !primaryServes)) continue;
    const auto* shelf = pool_.find(database);
    double busy = shelf ? static_cast<double>(shelf->busy.size() + shelf->opening) : 0;
    double taken = shelf ? std::max(shelf->meanTaken, 1000.0) : 8000;
    double score = (busy + 1) * taken;
    if (news.zone != settings_.zone) score = score * 2 + 1000;
    if (shelf) score *= 1 + 20 * shelf->faulty;
    if (database == primary) score = score * 3 + 5000;
    if (shelf && shelf->behindUntil > now && shelf->place < *after) score += 1e9;
    if (demand.avoid.contains(database)) score += 1e10;
    scored.emplace_back(score, database);
  }
  std::sort(scored.begin(), scored.end());
  for (const auto& [score, database] : scored)
    if (chosen.empty() || score <= 3 * scored.front().first) chosen.push_back(database);
  return chosen;
}

Instant Pooler::holdLapsedUntil(const Demand& demand) const {
  return demand.arrivedAt + statementBound(demand.kind) * settings_.lapsedHoldPercent / 100;
}

Task<Pooler::Acquired> Pooler::acquire(Session session, KindName kind, bool atPrimary, const Statement* executes, Instant arrived,
                                       Instant deadline, std::set<DatabaseName> avoid) {
  auto demand = std::make_shared<Demand>();
  demand->session = session.get();
  demand->kind = kind;
  demand->atPrimary = atPrimary;
  demand->arrivedAt = arrived;
  demand->askedAt = clock_.now();
  demand->holdUntil = std::min(deadline, arrived + statementBound(kind) * 45 / 100);
  demand->avoid = std::move(avoid);
  if (executes) {
    demand->preparedName = executes->name;
    demand->wantsPrepared = &session->prepared.at(executes->name);
  }
  if (auto found = routeNamed(kind)) {
    session->trace.service = found->kind->service;
    demand->order = found->kind->order;
    watches_[found->kind->service].workedAt = clock_.now();
  }
  if (demands_.size() >= settings_.waiting) co_return Acquired{nullptr, std::nullopt, StatementFault::busy, "too many statements wait"};
  demands_.add(demand);
  serve();
  while (demand->stage == DemandStage::waiting) {
    auto found = routeNamed(kind);
    bool lapsed = found && lapsedLong(found->kind->service);
    co_await demand->decided.wait(clock_, lapsed ? holdLapsedUntil(*demand) : demand->holdUntil);
    if (lapsed) serve();
    if (demand->stage == DemandStage::waiting && clock_.now() >= demand->holdUntil)
      demands_.refuse(demand, StatementFault::busy, whyWaiting(*demand));
  }
  session->trace.waited += clock_.now() - demand->askedAt;
  co_return Acquired{demand->connection, demand->after, demand->fault, demand->reason};
}

bool Pooler::mayPass(const Connection& connection, const KindName& kind, bool inTransaction) const {
  if (connection->cut || !connection->link->usable()) return false;
  const auto& service = connection->target.service;
  const auto* view = guide_.service(service);
  if (!view || !guide_.leased(service) || !view->databases.contains(connection->target.database)) return false;
  if (!inTransaction) {
    auto found = routeNamed(kind);
    if (!found || found->kind->service != service || view->drained.contains(connection->target.database)) return false;
  }
  if (!connection->asPrimary) return true;
  if (connection->epoch == view->primary.epoch) return view->primary.promoted && view->primary.primary == connection->target.database;
  return inTransaction && mayAcknowledge(connection) && clock_.now() < watches_.at(service).finishUntil;
}

bool Pooler::mayAcknowledge(const Connection& connection) const {
  if (!connection->asPrimary) return true;
  const auto& service = connection->target.service;
  const auto* view = guide_.service(service);
  if (!view || !guide_.leased(service)) return false;
  if (connection->epoch == view->primary.epoch) return true;
  auto watch = watches_.find(service);
  bool finishing = watch != watches_.end() && watch->second.confirmed < view->primary.epoch;
  return finishing && view->primary.planned && Epoch{connection->epoch.get() + 1} == view->primary.epoch;
}

Duration Pooler::patience(const Connection& connection, const KindName& kind, int attempt) const {
  auto usual = usualTaken_.find(kind);
  const auto* shelf = pool_.find(connection->target.database);
  if (usual == usualTaken_.end() || !shelf) return statementBound(kind);
  auto expected = 8 * std::max(usual->second, shelf->meanTaken);
  auto least = settings_.leastPatience;
  if (auto found = routeNamed(kind); found && found->kind->aim) least = std::max<Duration>(least, *found->kind->aim / 2);
  return std::max(least, Duration{static_cast<Duration::rep>(expected)}) * (1 << std::min(attempt, 4));
}

void Pooler::noteTaken(const KindName& kind, Duration taken) {
  auto micros = static_cast<double>(taken.count());
  auto [usual, fresh] = usualTaken_.try_emplace(kind, micros);
  if (!fresh) usual->second += (micros - usual->second) * 0.05;
}

Task<BackEndReply> Pooler::runOn(ClientSession* session, Connection connection, Statement statement, std::optional<Place> after,
                                 Instant deadline) {
  auto askedAt = clock_.now();
  checkSending(session, connection, statement);
  const auto& target = connection->target;
  const auto* view = guide_.service(target.service);
  bool leadsNow = view && guide_.leased(target.service) && view->primary.promoted && view->primary.primary == target.database;
  connection->running = true;
  connection->usedAt = askedAt;
  bool keeps = session && keepsSomething(*session, statement);
  auto reply = co_await connection->link->run(std::move(statement), after, deadline);
  connection->running = false;
  if (session) noteAttempt(*session, connection, reply, askedAt, keeps);
  pool_.shelf(target.database).ran[connection->order] += clock_.now() - std::max(askedAt, demandsSince_);
  if (!connection->cut) {
    bool well = reply.fate == BackEndFate::replied && reply.fault != StatementFault::failed && reply.fault != StatementFault::timedOut;
    pool_.ended(target.database, well);
  }
  if (reply.fate == BackEndFate::replied) {
    pool_.heard(target.database, clock_.now() - askedAt);
    auto& shelf = pool_.shelf(target.database);
    if (reply.place) shelf.place = std::max(shelf.place, *reply.place);
    if (reply.fault == StatementFault::behind) shelf.behindUntil = clock_.now() + 150ms;
    if (leadsNow && reply.place && reply.fault != StatementFault::readOnly) watches_[target.service].freshness.note(askedAt, *reply.place);
  } else if (connection->cut) {
    pool_.drop(connection);
  } else if (reply.fate == BackEndFate::lost && clock_.now() >= deadline) {
    pool_.gaveUp(target.database);
  } else if (reply.fate == BackEndFate::lost && guide_.leased(target.service)) {
    const auto* now = guide_.service(target.service);
    if (now && pool_.shelf(target.database).opening == 0 && pool_.mayOpen(target.database, allowed(target.service, *now)))
      pool_.open(target, settings_.suspicion);
  }
  co_return reply;
}

Task<bool> Pooler::conform(Session session, Connection connection, const Statement* executes, Instant deadline) {
  std::vector<Statement> steps;
  bool extra = std::any_of(connection->values.begin(), connection->values.end(), [&](const auto& each) {
    return !session->values.contains(each.first);
  });
  if (extra || connection->dubious) {
    connection->values.clear();
    connection->prepared.clear();
    connection->dubious = true;
    steps.push_back(Statement{StatementKind::reset, {}, {}, {}, {}});
  }
  for (const auto& [name, value] : session->values)
    if (auto held = connection->values.find(name); held == connection->values.end() || held->second != value)
      steps.push_back(Statement{StatementKind::set, {}, {}, name, value});
  if (executes) {
    const auto& wanted = session->prepared.at(executes->name);
    auto held = connection->prepared.find(executes->name);
    if (held != connection->prepared.end() && held->second != wanted)
      steps.push_back(Statement{StatementKind::discard, {}, {}, executes->name, {}});
    if (held == connection->prepared.end() || held->second != wanted)
      steps.push_back(
          Statement{wanted.writes ? StatementKind::prepareWrite : StatementKind::prepareRead, {}, {}, executes->name, wanted.shape});
  }
  for (const auto& step : steps) {
    auto reply = co_await runOn(session.get(), connection, step, std::nullopt, deadline);
    journal_.count("pool.conformed");
    if (session->transaction && session->transaction->connection == connection) session->transaction->laid = true;
    if (reply.fate != BackEndFate::replied || reply.fault != StatementFault::none) co_return false;
    if (step.kind == StatementKind::reset) connection->dubious = false;
    if (step.kind == StatementKind::set) connection->values[step.name] = step.value;
    if (step.kind == StatementKind::discard) connection->prepared.erase(step.name);
    if (step.kind == StatementKind::prepareRead || step.kind == StatementKind::prepareWrite)
      connection->prepared[step.name] = PreparedStatement{step.kind == StatementKind::prepareWrite, step.value};
  }
  co_return true;
}

}  // namespace tamarindshift

#include "pool/proxy_node.hpp"

#include <algorithm>

namespace tamarindshift {

namespace {

bool keeps(const DatabaseRequest& request) {
  return !request.reads;
}

}  // namespace

namespace {

FollowTimings followTimings(const ProxySettings& settings) {
  FollowTimings timings;
  timings.patience = settings.timings.newsPatience;
  timings.longestLease = settings.timings.lease;
  return timings;
}

}  // namespace

ProxyNode::ProxyNode(Clock& clock, PeerLink& link, WebLink& databases, Journal& journal, ProxySettings settings, std::uint64_t entropy)
    : clock_(clock),
      journal_(journal),
      settings_(std::move(settings)),
      boot_(entropy),
      desk_(clock, link, boot_),
      feed_(
          clock, desk_, journal,
          [this](const Topic&) {
            return std::vector{settings_.agent};
          },
          followTimings(settings_),
          [this] {
            return std::optional{settings_.node};
          }),
      guide_(clock, feed_, settings_.node, boot_),
      pool_(clock, databases, journal) {
  scope_.spawn(work());
  scope_.spawn(tick());
  scope_.spawn(report());
}

Task<void> ProxyNode::work() {
  for (;;) {
    auto command = co_await queue_.take(clock_);
    command();
    passes();
  }
}

Task<void> ProxyNode::tick() {
  for (;;) {
    co_await sleep(clock_, 20ms);
    queue_.put([this] {
      guide_.refresh();
      careServices();
      careBusy();
      careIdleSessions();
    });
  }
}

Task<void> ProxyNode::report() {
  for (;;) {
    auto report = makeReport();
    if (presses(report) || clock_.now() - reportedAt_ >= settings_.timings.report) {
      desk_.tell(settings_.agent, "report", packed(report));
      journal_.count("reports.sent");
      reported_ = std::move(report);
      reportedAt_ = clock_.now();
    }
    co_await sleep(clock_, settings_.timings.reportPause);
  }
}

NodeReport ProxyNode::makeReport() {
  auto now = clock_.now();
  NodeReport report;
  report.node = settings_.node;
  report.boot = boot_;
  report.draining = draining();
  report.mark = guide_.planMark();
  for (const auto& [name, view] : guide_.services()) {
    if (!view.plan) continue;
    auto& own = report.services[name];
    own.followed = followed_[name];
    own.epoch = view.primary.epoch;
    own.acknowledged = acknowledged_[name];
    own.working = now - workedAt_[name] < settings_.timings.suspicionKept;
    for (const auto& [database, unreached] : unreached_[name])
      if (unreached.attempts > 1 && now - unreached.at < settings_.timings.suspicionKept) own.suspects.insert(database);
    if (auto until = guide_.leaseUntil(name)) report.lease = std::max(report.lease, *until - now);
    for (const auto& [branch, planned] : view.plan->service.branches) {
      auto held = pool_.busiest(name, branch);
      auto wants = static_cast<double>(held + requests_.waitingOn(name, branch));
      auto& demand = demand_[{name, branch}];
      demand = std::max(wants, demand * 0.974);
      own.wanted[branch] = draining() ? 0 : static_cast<std::uint32_t>(demand + 1.5);
    }
  }
  return report;
}

bool ProxyNode::presses(const NodeReport& report) const {
  if (report.draining != reported_.draining || report.mark != reported_.mark || report.services.size() != reported_.services.size())
    return true;
  return std::any_of(report.services.begin(), report.services.end(), [&](const auto& each) {
    const auto& [name, own] = each;
    auto before = reported_.services.find(name);
    if (before == reported_.services.end()) return true;
    const auto& share = guide_.service(name)->share.most;
    bool shorter = std::any_of(own.wanted.begin(), own.wanted.end(), [&](const auto& want) {
      auto granted = share.find(want.first);
      auto told = before->second.wanted.find(want.first);
      return granted != share.end() && want.second > granted->second &&
             (told == before->second.wanted.end() || told->second <= granted->second);
    });
    return shorter || own.followed != before->second.followed || own.epoch != before->second.epoch ||
           own.working != before->second.working || own.suspects != before->second.suspects;
  });
}

void ProxyNode::noteUnreached(const ServiceName& service, const DatabaseName& database) {
  auto& unreached = unreached_[service][database];
  ++unreached.attempts;
  unreached.at = clock_.now();
}

void ProxyNode::passes() {
  expirePass();
  placePass();
}

std::shared_ptr<Session> ProxyNode::openSession(const KindName& kind, std::map<ServiceName, Position> own, ConnectionId door) {
  if (draining() || sessions_.size() >= settings_.sessions) return nullptr;
  auto session = std::make_shared<Session>();
  session->id = SessionId{std::to_string(boot_ % 1000000) + "-" + std::to_string(++lastSession_)};
  session->kind = kind;
  session->own = std::move(own);
  session->door = door;
  session->usedAt = clock_.now();
  sessions_[session->id] = session;
  journal_.count("sessions.opened");
  return session;
}

std::shared_ptr<Session> ProxyNode::session(const SessionId& id) const {
  auto found = sessions_.find(id);
  return found == sessions_.end() ? nullptr : found->second;
}

void ProxyNode::closeSession(const std::shared_ptr<Session>& session) {
  session->closing = true;
  sessions_.erase(session->id);
  dropPin(session);
}

void ProxyNode::gone(ConnectionId door) {
  for (const auto& [id, session] : sessions_)
    if (session->door == door && (session->inTransaction || session->busy)) {
      journal_.count("sessions.walked_away");
      session->left = session->busy;
      if (session->inTransaction) session->transactionLost = true;
      if (session->stateful) session->stateLost = true;
      session->inTransaction = session->stateful = false;
      dropPin(session);
    }
}

void ProxyNode::dropPin(const std::shared_ptr<Session>& session) {
  if (!session->pinned) return;
  auto connection = std::exchange(session->pinned, nullptr);
  pool_.drop(connection);
}

Task<RequestReply> ProxyNode::run(std::shared_ptr<Session> session, KindName kind, DatabaseRequest request) {
  auto record = std::make_shared<RequestRecord>();
  record->session = session;
  record->kind = std::move(kind);
  record->request = std::move(request);
  record->enrolledAt = clock_.now();
  record->giveUpAt = clock_.now() + settings_.timings.queuePatience;
  session->usedAt = clock_.now();
  session->busy = true;
  queue_.put([this, record] {
    enrolPass(record);
  });
  while (record->stage != RequestStage::replied) co_await record->replied.wait(clock_);
  session->busy = false;
  session->usedAt = clock_.now();
  co_return record->reply;
}

void ProxyNode::enrolPass(const Record& record) {
  const auto& session = record->session;
  auto operation = record->request.operation;
  session->left = false;
  if (std::exchange(session->transactionLost, false)) return refuse(record, "transaction lost, nothing was kept", 410);
  if (session->stateLost) return refuse(record, "session state lost, open a new session", 410);
  bool ends = operation == Operation::commit || operation == Operation::rollback;
  if (ends && !session->inTransaction) return refuse(record, "no transaction is open", 409);
  if (operation == Operation::begin && session->inTransaction) return refuse(record, "a transaction is open already", 409);
  if (operation == Operation::execute && !session->stateful) return refuse(record, "nothing is prepared in this session", 409);
  if (draining() && !session->inTransaction) return refuse(record, "this node is leaving");
  if (session->pinned && session->pinned->kind == record->kind) {
    record->service = session->pinned->service;
    record->branch = session->pinned->branch;
    return requests_.enrol(record);
  }
  auto view = guide_.kind(record->kind);
  if (!view.kind) return refuse(record, view.refusal, view.refusal == "unknown kind of work" && guide_.anyLease() ? 403 : 503);
  record->service = view.kind->service;
  record->branch = view.kind->branch;
  record->order = view.service->plan->service.branches.at(record->branch).order;
  if (session->pinned) return requests_.enrol(record);
  auto waiting = requests_.waitingOn(record->service, record->branch);
  if (waiting >= settings_.queue) return refuse(record, "queue is full");
  auto granted = view.service->share.most.find(record->branch);
  auto slots = granted == view.service->share.most.end() ? 0 : granted->second;
  auto expected = meanTaken_[record->service] * static_cast<double>(waiting) / std::max(1u, slots);
  if (expected > static_cast<double>(settings_.timings.queuePatience.count())) return refuse(record, "queue is past hope");
  requests_.enrol(record);
}

void ProxyNode::expirePass() {
  for (const auto& record : requests_.waiting()) {
    if (record->session->closing)
      refuse(record, "session closed");
    else if (clock_.now() >= record->giveUpAt)
      refuse(record, "no connection in time");
  }
  if (!draining()) return;
  auto since = clock_.now() - *drainingSince_;
  if (since < settings_.timings.stop - 300ms) return;
  auto underway = requests_.records();
  for (const auto& [number, record] : underway) {
    if (record->stage != RequestStage::passed || !keeps(record->request))
      refuse(record, "this node is leaving");
    else
      unknown(record, "this node had to leave before the database replied");
  }
}

void ProxyNode::placePass() {
  for (const auto& record : requests_.waiting()) placeOne(record);
}

void ProxyNode::placeOne(const Record& record) {
  if (record->session->pinned) return placePinned(record);
  auto view = guide_.kind(record->kind);
  if (!view.kind || view.kind->service != record->service) return refuse(record, view.kind ? "the plan changed" : view.refusal);
  if (!guide_.leased(record->service)) return refuse(record, "no current lease");
  if (record->session->inTransaction) return transactionLost(record);
  if (record->session->stateful) {
    record->session->stateLost = true;
    return refuse(record, "session state lost, open a new session", 410);
  }
  auto operation = record->request.operation;
  bool pins = operation == Operation::prepare || operation == Operation::set;
  if (pins) {
    auto granted = view.service->share.most.find(record->branch);
    auto most = granted == view.service->share.most.end() ? 0 : std::max(1u, granted->second / 2);
    if (this->pins(record->service, record->branch) >= most) return refuse(record, "too many sessions hold connections");
  }
  std::string refusal;
  auto choice = choose(record, view, refusal);
  if (!choice) return refuse(record, refusal);
  const auto& service = *view.service;
  workedAt_[record->service] = clock_.now();
  if (!pool_.mayHold(service, record->service, choice->database, record->branch)) return;
  if (auto idle = pool_.takeIdle(record->service, choice->database, record->branch)) {
    requests_.passed(record);
    scope_.spawn(passOn(record, idle, *choice));
  } else if (pool_.mayOpen(service, record->service, choice->database)) {
    requests_.passed(record);
    scope_.spawn(passOn(record, nullptr, *choice));
  }
}

void ProxyNode::placePinned(const Record& record) {
  const auto& session = record->session;
  auto connection = session->pinned;
  if (connection->service != record->service) return refuse(record, "the session's connection is at another service", 409);
  bool usable = !connection->doomed && connection->link && connection->link->usable();
  if (!usable || !mayPass(record, *connection)) {
    dropPin(session);
    if (session->inTransaction) return transactionLost(record);
    session->stateLost = true;
    return refuse(record, "session state lost, open a new session", 410);
  }
  requests_.passed(record);
  scope_.spawn(passOn(record, connection, Choice{connection->database, {}, connection->epoch}));
}

std::optional<ProxyNode::Choice> ProxyNode::choose(const Record& record, const Guide::KindView& view, std::string& refusal) const {
  bool mayRead = record->request.reads && view.kind->consistency != Consistency::primary;
  if (mayRead)
    if (auto replica = chooseReplica(record, view)) return replica;
  const auto& primary = view.service->primary;
  const auto& databases = view.service->databases;
  auto found = databases.find(primary.primary);
  if (!primary.promoted || found == databases.end()) {
    refusal = "the primary is being recovered";
    return std::nullopt;
  }
  if (view.service->drained.contains(primary.primary)) {
    refusal = "the primary is leaving";
    return std::nullopt;
  }
  if (!view.selects(found->first)) {
    refusal = "the primary is not selected for the kind";
    return std::nullopt;
  }
  return Choice{found->first, found->second.address, primary.epoch};
}

std::optional<ProxyNode::Choice> ProxyNode::chooseReplica(const Record& record, const Guide::KindView& view) const {
  std::optional<Choice> best;
  std::uint32_t least = 0;
  auto own = record->session->own.find(record->service);
  auto needed = own == record->session->own.end() ? Position{} : own->second;
  auto bound = view.kind->stalenessBound();
  for (const auto& sign : guide_.signs(record->service)) {
    DatabaseName name{sign.database};
    auto planned = view.service->databases.find(name);
    if (planned == view.service->databases.end() || name == view.service->primary.primary) continue;
    if (view.service->drained.contains(name) || record->avoid.contains(name)) continue;
    if (!view.selects(name)) continue;
    if (sign.leaving || sign.role != "replica" || Epoch{sign.epoch} != view.service->primary.epoch || sign.age > bound ||
        Position{sign.position} < needed)
      continue;
    auto load = pool_.load(record->service, name);
    if (!best || load < least) {
      best = Choice{name, planned->second.address, view.service->primary.epoch};
      least = load;
    }
  }
  return best;
}

bool ProxyNode::mayPass(const Record& record, const PooledConnection& connection) const {
  if (!guide_.leased(record->service)) return false;
  const auto* service = guide_.service(record->service);
  if (!service || connection.epoch != service->primary.epoch || leavesTooLate(connection, record->session->inTransaction)) return false;
  bool fits = !misfit(record->kind, connection);
  bool stillHeld = record->session->pinned.get() == &connection && connection.kind == record->kind &&
                   (!connection.misfitSince || clock_.now() - *connection.misfitSince <= settings_.timings.planGrace());
  return fits || stillHeld;
}

std::optional<std::string> ProxyNode::misfit(const KindName& kind, const PooledConnection& connection) const {
  auto view = guide_.kind(kind);
  if (!view.kind) return view.refusal;
  if (view.kind->service != connection.service) return "the plan changed";
  const auto& databases = view.service->databases;
  auto planned = databases.find(connection.database);
  if (planned == databases.end() || planned->second.address != connection.address) return "the plan has no such database";
  if (!view.selects(connection.database)) return "the database is not selected for the kind";
  return std::nullopt;
}

bool ProxyNode::leavesTooLate(const PooledConnection& connection, bool inTransaction) const {
  const auto* service = guide_.service(connection.service);
  auto drained = service->drained.find(connection.database);
  return drained != service->drained.end() && (!inTransaction || clock_.now() - drained->second > settings_.timings.stopTransactions);
}

Task<void> ProxyNode::passOn(Record record, std::shared_ptr<PooledConnection> connection, Choice choice) {
  if (!connection) {
    auto deadline = std::min(record->giveUpAt, clock_.now() + settings_.timings.queuePatience / 2);
    connection = co_await pool_.open(record->service, choice.database, record->branch, choice.address, deadline);
    if (!connection) {
      noteUnreached(record->service, choice.database);
      record->avoid.insert(choice.database);
      queue_.put([this, record] {
        again(record);
      });
      co_return;
    }
  }
  connection->epoch = choice.epoch;
  if (record->session->pinned != connection) connection->kind = record->kind;
  bool given = record->stage == RequestStage::replied || record->session->closing;
  if (given || !mayPass(record, *connection)) {
    if (record->session->pinned == connection)
      dropPin(record->session);
    else if (given)
      pool_.release(connection);
    else
      pool_.drop(connection);
    queue_.put([this, record] {
      again(record);
    });
    co_return;
  }
  ++record->attempts;
  workedAt_[record->service] = clock_.now();
  auto passedAt = clock_.now();
  connection->running = true;
  auto outcome = co_await connection->link->run(record->request, clock_.now() + settings_.timings.statementPatience);
  connection->running = false;
  noteDone(record->service, clock_.now() - passedAt);
  settle(record, connection, std::move(outcome));
  queue_.put([] {});
}

void ProxyNode::noteDone(const ServiceName& service, Duration taken) {
  auto& mean = meanTaken_[service];
  mean = mean * 0.95 + static_cast<double>(taken.count()) * 0.05;
}

void ProxyNode::again(const Record& record) {
  if (record->stage == RequestStage::replied) return;
  if (record->attempts >= settings_.mostAttempts) return refuse(record, "no database did it in three attempts");
  requests_.waits(record);
}

void ProxyNode::refuse(const Record& record, const std::string& reason, int status) {
  journal_.count("requests.refused");
  journal_.count("refused: " + reason);
  RequestReply reply;
  reply.fate = status == 410 ? RequestFate::lostState : RequestFate::refused;
  reply.status = status;
  reply.reason = reason;
  if (status == 503) reply.comeBack = settings_.timings.comeBack;
  requests_.reply(record, std::move(reply));
}

void ProxyNode::unknown(const Record& record, const std::string& reason) {
  journal_.count("requests.unknown");
  RequestReply reply;
  reply.fate = RequestFate::unknown;
  reply.status = 504;
  reply.reason = reason;
  requests_.reply(record, std::move(reply));
}

void ProxyNode::transactionLost(const Record& record) {
  record->session->inTransaction = false;
  if (record->session->stateful) record->session->stateLost = true;
  refuse(record, "transaction lost, nothing was kept", 410);
}

void ProxyNode::settle(const Record& record, const std::shared_ptr<PooledConnection>& connection, PassOutcome outcome) {
  if (outcome.fate == PassFate::replied) unreached_[record->service].erase(connection->database);
  if (outcome.fate == PassFate::replied)
    settleReplied(record, connection, std::move(outcome.reply));
  else
    settleLost(record, connection, outcome.fate == PassFate::lost);
}

void ProxyNode::settleLost(const Record& record, const std::shared_ptr<PooledConnection>& connection, bool sent) {
  journal_.count(sent ? "passes.lost" : "passes.unsent");
  noteUnreached(record->service, connection->database);
  const auto& session = record->session;
  bool pinned = session->pinned == connection;
  if (pinned) session->pinned.reset();
  pool_.drop(connection);
  bool mayBeKept = sent && keeps(record->request) && record->request.operation != Operation::rollback;
  if (session->inTransaction) {
    if (sent && record->request.operation == Operation::commit) {
      session->inTransaction = false;
      if (session->stateful) session->stateLost = true;
      return unknown(record, "the reply to the commit was lost");
    }
    return transactionLost(record);
  }
  if (pinned) session->stateLost = true;
  if (mayBeKept && record->request.operation != Operation::begin) return unknown(record, "the reply was lost");
  if (pinned) return refuse(record, "session state lost, open a new session", 410);
  record->avoid.insert(connection->database);
  again(record);
}

void ProxyNode::settleReplied(const Record& record, const std::shared_ptr<PooledConnection>& connection, DatabaseReply reply) {
  const auto& session = record->session;
  auto view = guide_.kind(record->kind);
  auto operation = record->request.operation;
  const auto* service = guide_.service(record->service);
  bool atPrimary = service && service->primary.primary == connection->database;
  bool current = service && guide_.leased(record->service) && service->primary.epoch == connection->epoch && (atPrimary || view.kind);
  if (current && atPrimary) current = reply.standing.role == "primary" && reply.standing.epoch == connection->epoch;
  bool inTransaction = session->inTransaction && session->pinned == connection;
  bool keptNow =
      reply.done && keeps(record->request) &&
      (operation == Operation::commit || (!inTransaction && (operation == Operation::statement || operation == Operation::execute)));

  if (!current) {
    journal_.count("passes.replied_late");
    if (session->pinned == connection) session->pinned.reset();
    pool_.drop(connection);
    if (keptNow) {
      session->inTransaction = false;
      if (session->stateful) session->stateLost = true;
      return unknown(record, "the reply came after the lease or the epoch it was passed under");
    }
    if (inTransaction) return transactionLost(record);
    if (session->stateful) {
      session->stateLost = true;
      return refuse(record, "session state lost, open a new session", 410);
    }
    if (!record->request.reads) return refuse(record, "the database is not the primary");
    record->avoid.insert(connection->database);
    return again(record);
  }
  if (keptNow && !reply.replicated) {
    auto& position = session->own[record->service];
    position = std::max(position, reply.keptAt);
    if (operation == Operation::commit) session->inTransaction = false;
    retire(record, connection);
    return unknown(record, "kept by the primary alone");
  }
  if (record->request.reads && !atPrimary) {
    auto own = session->own.find(record->service);
    bool behind = reply.standing.epoch != connection->epoch || (own != session->own.end() && reply.standing.position < own->second);
    bool stale = reply.standing.contactAge > view.kind->stalenessBound();
    if (behind || stale) {
      journal_.count("reads.too_stale");
      if (session->pinned != connection) {
        pool_.release(connection);
        record->avoid.insert(connection->database);
        return again(record);
      }
      return refuse(record, "the replica is too far behind");
    }
  }
  if (keptNow) {
    auto& own = session->own[record->service];
    own = std::max(own, reply.keptAt);
    auto& acknowledged = acknowledged_[record->service];
    acknowledged = std::max(acknowledged, Place{reply.standing.epoch, reply.keptAt});
  }
  if (operation == Operation::begin && reply.done) session->inTransaction = true;
  if (operation == Operation::commit || operation == Operation::rollback) session->inTransaction = false;
  if (reply.done && (operation == Operation::prepare || operation == Operation::set)) session->stateful = true;
  retire(record, connection);
  RequestReply answer;
  answer.fate = reply.done ? RequestFate::done : RequestFate::failed;
  answer.status = reply.done ? 200 : 422;
  answer.reason = reply.reason;
  answer.result = std::move(reply.result);
  answer.database = connection->database;
  answer.position = keptNow ? reply.keptAt : reply.standing.position;
  journal_.count(reply.done ? "requests.done" : "requests.failed");
  requests_.reply(record, std::move(answer));
}

void ProxyNode::retire(const Record& record, const std::shared_ptr<PooledConnection>& connection) {
  const auto& session = record->session;
  bool holds = session->inTransaction || session->stateful;
  bool abandoned =
      session->closing || session->left || session->transactionLost || session->stateLost || record->stage == RequestStage::replied;
  if (holds && !abandoned && !connection->doomed) {
    session->pinned = connection;
    connection->pinnedBy = session;
    return;
  }
  if (session->pinned == connection) session->pinned.reset();
  if (holds) {
    if (session->inTransaction) session->transactionLost = true;
    if (session->stateful) session->stateLost = true;
    session->inTransaction = session->stateful = false;
    pool_.drop(connection);
  } else {
    pool_.release(connection);
  }
}

std::uint32_t ProxyNode::pins(const ServiceName& service, const BranchName& branch) const {
  std::uint32_t amount = 0;
  for (const auto& [id, session] : sessions_)
    amount += session->stateful && session->pinned && session->pinned->service == service && session->pinned->branch == branch;
  return amount;
}

void ProxyNode::loseHold(const std::shared_ptr<PooledConnection>& connection) {
  auto session = connection->pinnedBy.lock();
  if (connection->running || !session || session->pinned != connection) return pool_.drop(connection);
  journal_.count("sessions.pins_closed");
  if (session->inTransaction) session->transactionLost = true;
  if (session->stateful) session->stateLost = true;
  session->inTransaction = false;
  dropPin(session);
}

void ProxyNode::careBusy() {
  auto now = clock_.now();
  auto busy = pool_.busyConnections();
  for (const auto& connection : busy) {
    if (connection->doomed) continue;
    auto session = connection->pinnedBy.lock();
    bool pinned = session && session->pinned == connection && !connection->running;
    const auto* service = guide_.service(connection->service);
    bool fits = service && service->plan && !misfit(connection->kind, *connection);
    if (fits && pinned) {
      const auto& branch = service->plan->kinds.at(connection->kind).branch;
      fits = branch == connection->branch || pool_.rebook(connection, *service, branch);
    }
    if (fits)
      connection->misfitSince.reset();
    else if (!connection->misfitSince)
      connection->misfitSince = now;
    bool late = connection->misfitSince && now - *connection->misfitSince > settings_.timings.planGrace();
    if (pinned && !late) {
      late = !service || !guide_.leased(connection->service) || service->primary.epoch != connection->epoch ||
             leavesTooLate(*connection, session->inTransaction) ||
             (draining() && now - *drainingSince_ > settings_.timings.stopTransactions) ||
             (session->inTransaction && now - session->usedAt > settings_.idleInTransaction);
    }
    if (late) loseHold(connection);
  }
}

void ProxyNode::careIdleSessions() {
  std::vector<std::shared_ptr<Session>> idle;
  for (const auto& [id, session] : sessions_)
    if (!session->busy && clock_.now() - session->usedAt > settings_.idleSession) idle.push_back(session);
  for (const auto& session : idle) closeSession(session);
}

void ProxyNode::careSurplus(const ServiceName& name, const Guide::ServiceView& view) {
  if (pool_.within(name, view)) {
    followed_[name] = view.mark;
    surplusSince_.erase(name);
    if (view.plan) withinPlan_[name] = view.plan->mark;
    return;
  }
  auto since = surplusSince_.try_emplace(name, clock_.now()).first->second;
  bool planned = view.plan && withinPlan_[name] == view.plan->mark;
  if (clock_.now() - since <= (planned ? settings_.timings.sharesFollowed : settings_.timings.planGrace())) return;
  for (const auto& connection : pool_.surplus(name, view)) loseHold(connection);
}

void ProxyNode::careServices() {
  pool_.closeAllBesides(guide_.services());
  for (const auto& [name, view] : guide_.services()) {
    if (!guide_.leased(name)) {
      pool_.closeAll(name);
      continue;
    }
    pool_.trim(name, view);
    pool_.closeBusyBefore(name, view.primary.epoch);
    careSurplus(name, view);
  }
}

void ProxyNode::drain() {
  if (drainingSince_) return;
  drainingSince_ = clock_.now();
  journal_.line("draining");
}

bool ProxyNode::stopped() const {
  if (!drainingSince_) return false;
  auto since = clock_.now() - *drainingSince_;
  if (since > settings_.timings.stop) return true;
  if (requests_.underway() > 0 || since < 8 * settings_.timings.reportPause) return false;
  for (const auto& [id, session] : sessions_)
    if (session->inTransaction) return false;
  return true;
}

std::optional<std::string> ProxyNode::notReady() const {
  if (draining()) return "this node is leaving";
  if (!guide_.anyLease()) return "no current lease";
  if (guide_.planMark() == PlanMark{}) return "no plan";
  for (const auto& [name, view] : guide_.services())
    if (!guide_.leased(name) || view.share.most.empty()) return "no share of service " + name.get() + " yet";
  if (guide_.services().empty()) return "no news of any service";
  return std::nullopt;
}

}  // namespace tamarindshift

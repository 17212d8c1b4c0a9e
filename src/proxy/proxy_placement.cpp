#include "proxy/proxy_node.hpp"

#include <algorithm>

// ProxyNode: admits requests, and chooses a database and a connection for each waiting one.

namespace tamarindshift {

void ProxyNode::admit(const Record& record) {
  const auto& session = record->session;
  auto operation = record->request.operation;
  session->clientLeft = false;
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
    return requests_.add(record);
  }
  auto view = directory_.kind(record->kind);
  if (!view.kind) return refuse(record, view.refusal, view.refusal == "unknown kind of work" && directory_.anyLease() ? 403 : 503);
  record->service = view.kind->service;
  record->branch = view.kind->branch;
  record->order = view.service->plan->service.branches.at(record->branch).order;
  if (session->pinned) return requests_.add(record);
  auto waiting = requests_.waitingCount(record->service, record->branch);
  if (waiting >= settings_.maxQueued) return refuse(record, "queue is full");
  auto granted = view.service->share.connections.find(record->branch);
  auto slots = granted == view.service->share.connections.end() ? 0 : granted->second;
  auto expected = meanDurationUs_[record->service] * static_cast<double>(waiting) / std::max(1u, slots);
  if (expected > static_cast<double>(settings_.timings.queuePatience.count())) return refuse(record, "queue is past hope");
  requests_.add(record);
}

void ProxyNode::expireWaiting() {
  for (const auto& record : requests_.waiting()) {
    if (record->session->closing)
      refuse(record, "session closed");
    else if (clock_.now() >= record->queueDeadline)
      refuse(record, "no connection in time");
  }
  if (!draining()) return;
  auto since = clock_.now() - *drainingSince_;
  if (since < settings_.timings.stop - 300ms) return;
  auto underway = requests_.records();
  for (const auto& [number, record] : underway) {
    if (record->stage != RequestStage::forwarded || !record->request.mayWrite())
      refuse(record, "this node is leaving");
    else
      replyUnknown(record, "this node had to leave before the database replied");
  }
}

void ProxyNode::placeWaiting() {
  for (const auto& record : requests_.waiting()) placeRequest(record);
}

void ProxyNode::placeRequest(const Record& record) {
  if (record->session->pinned) return placePinned(record);
  auto view = directory_.kind(record->kind);
  if (!view.kind || view.kind->service != record->service) return refuse(record, view.kind ? "the plan changed" : view.refusal);
  if (!directory_.leased(record->service)) return refuse(record, "no current lease");
  if (record->session->inTransaction) return refuseLostTransaction(record);
  if (record->session->stateful) {
    record->session->stateLost = true;
    return refuse(record, "session state lost, open a new session", 410);
  }
  auto operation = record->request.operation;
  bool pins = operation == Operation::prepare || operation == Operation::set;
  if (pins) {
    // sessions with prepared statements or set values may hold half of the branch's share, and at least one connection
    auto granted = view.service->share.connections.find(record->branch);
    auto most = granted == view.service->share.connections.end() ? 0 : std::max(1u, granted->second / 2);
    if (this->pinnedCount(record->service, record->branch) >= most) return refuse(record, "too many sessions hold connections");
  }
  std::string refusal;
  auto choice = choose(record, view, refusal);
  if (!choice) return refuse(record, refusal);
  const auto& service = *view.service;
  lastWorkAt_[record->service] = clock_.now();
  if (!pool_.belowBranchLimit(service, record->service, choice->database, record->branch)) return;
  if (auto idle = pool_.takeIdle(record->service, choice->database, record->branch)) {
    requests_.markForwarded(record);
    scope_.spawn(forward(record, idle, *choice));
  } else if (pool_.mayOpen(service, record->service, choice->database)) {
    requests_.markForwarded(record);
    scope_.spawn(forward(record, nullptr, *choice));
  }
}

void ProxyNode::placePinned(const Record& record) {
  const auto& session = record->session;
  auto connection = session->pinned;
  if (connection->service != record->service) return refuse(record, "the session's connection is at another service", 409);
  bool usable = !connection->dropped && connection->link && connection->link->usable();
  if (!usable || !mayForward(record, *connection)) {
    closePinnedConnection(session);
    if (session->inTransaction) return refuseLostTransaction(record);
    session->stateLost = true;
    return refuse(record, "session state lost, open a new session", 410);
  }
  requests_.markForwarded(record);
  scope_.spawn(forward(record, connection, Choice{connection->database, {}, connection->epoch}));
}

std::optional<ProxyNode::Choice> ProxyNode::choose(const Record& record, const ServiceDirectory::KindView& view,
                                                   std::string& refusal) const {
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

std::optional<ProxyNode::Choice> ProxyNode::chooseReplica(const Record& record, const ServiceDirectory::KindView& view) const {
  std::optional<Choice> best;
  std::uint32_t least = 0;
  auto minPosition = record->session->minPositions.find(record->service);
  auto needed = minPosition == record->session->minPositions.end() ? Position{} : minPosition->second;
  auto bound = view.kind->stalenessBound();
  for (const auto& report : directory_.databaseReports(record->service)) {
    DatabaseName name{report.database};
    auto planned = view.service->databases.find(name);
    if (planned == view.service->databases.end() || name == view.service->primary.primary) continue;
    if (view.service->drained.contains(name) || record->avoidedDatabases.contains(name)) continue;
    if (!view.selects(name)) continue;
    if (report.leaving || report.role != "replica" || Epoch{report.epoch} != view.service->primary.epoch || report.age > bound ||
        Position{report.position} < needed)
      continue;
    auto load = pool_.load(record->service, name);
    if (!best || load < least) {
      best = Choice{name, planned->second.address, view.service->primary.epoch};
      least = load;
    }
  }
  return best;
}

bool ProxyNode::mayForward(const Record& record, const PooledConnection& connection) const {
  if (!directory_.leased(record->service) || (record->session->inTransaction && transactionTimeOver())) return false;
  const auto* service = directory_.service(record->service);
  if (!service || connection.epoch != service->primary.epoch || drainGraceOver(connection, record->session->inTransaction)) return false;
  bool fits = !mismatch(record->kind, connection);
  bool stillHeld = record->session->pinned.get() == &connection && connection.kind == record->kind &&
                   (!connection.mismatchSince || clock_.now() - *connection.mismatchSince <= settings_.timings.planGrace());
  return fits || stillHeld;
}

std::optional<std::string> ProxyNode::mismatch(const KindName& kind, const PooledConnection& connection) const {
  auto view = directory_.kind(kind);
  if (!view.kind) return view.refusal;
  if (view.kind->service != connection.service) return "the plan changed";
  const auto& databases = view.service->databases;
  auto planned = databases.find(connection.database);
  if (planned == databases.end() || planned->second.address != connection.address) return "the plan has no such database";
  if (!view.selects(connection.database)) return "the database is not selected for the kind";
  return std::nullopt;
}

bool ProxyNode::drainGraceOver(const PooledConnection& connection, bool inTransaction) const {
  const auto* service = directory_.service(connection.service);
  auto drained = service->drained.find(connection.database);
  return drained != service->drained.end() && (!inTransaction || clock_.now() - drained->second > settings_.timings.stopTransactions);
}

}  // namespace tamarindshift

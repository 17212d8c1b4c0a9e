#include "proxy/proxy_node.hpp"

#include <algorithm>

namespace tamarindshift {

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
          FollowTimings::of(settings_.timings),
          [this] {
            return std::optional{settings_.node};
          }),
      directory_(clock, feed_, settings_.node, boot_),
      pool_(clock, databases, journal) {
  scope_.spawn(runCommands());
  scope_.spawn(supervise());
  scope_.spawn(sendReports());
}

Task<void> ProxyNode::runCommands() {
  for (;;) {
    auto command = co_await queue_.take(clock_);
    command();
    processWaiting();
  }
}

Task<void> ProxyNode::supervise() {
  for (;;) {
    co_await sleep(clock_, 20ms);
    queue_.put([this] {
      directory_.refresh();
      superviseServices();
      superviseBusyConnections();
      closeIdleSessions();
    });
  }
}

Task<void> ProxyNode::sendReports() {
  for (;;) {
    auto report = makeReport();
    if (isUrgent(report) || clock_.now() - lastReportAt_ >= settings_.timings.report) {
      desk_.tell(settings_.agent, "report", packed(report));
      journal_.count("reports.sent");
      lastReport_ = std::move(report);
      lastReportAt_ = clock_.now();
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
  report.mark = directory_.planMark();
  for (const auto& [name, view] : directory_.services()) {
    if (!view.plan) continue;
    auto& serviceReport = report.services[name];
    serviceReport.appliedPosition = followedMarks_[name];
    serviceReport.epoch = view.primary.epoch;
    serviceReport.acknowledged = acknowledged_[name];
    serviceReport.hasRecentWork = now - lastWorkAt_[name] < settings_.timings.suspicionKept;
    for (const auto& [database, unreachable] : unreachable_[name])
      if (unreachable.attempts > 1 && now - unreachable.at < settings_.timings.suspicionKept) serviceReport.suspects.insert(database);
    if (auto until = directory_.leaseUntil(name)) report.lease = std::max(report.lease, *until - now);
    for (const auto& [branch, planned] : view.plan->service.branches) {
      auto held = pool_.mostBusyOnOneDatabase(name, branch);
      auto wants = static_cast<double>(held + requests_.waitingCount(name, branch));
      auto& demand = demand_[{name, branch}];
      demand = std::max(wants, demand * 0.974);
      serviceReport.connectionDemand[branch] = draining() ? 0 : static_cast<std::uint32_t>(demand + 1.5);
    }
  }
  return report;
}

bool ProxyNode::isUrgent(const NodeReport& report) const {
  if (report.draining != lastReport_.draining || report.mark != lastReport_.mark || report.services.size() != lastReport_.services.size())
    return true;
  return std::any_of(report.services.begin(), report.services.end(), [&](const auto& each) {
    const auto& [name, serviceReport] = each;
    auto before = lastReport_.services.find(name);
    if (before == lastReport_.services.end()) return true;
    const auto& share = directory_.service(name)->share.connections;
    bool needsMore = std::any_of(serviceReport.connectionDemand.begin(), serviceReport.connectionDemand.end(), [&](const auto& want) {
      auto granted = share.find(want.first);
      auto reported = before->second.connectionDemand.find(want.first);
      return granted != share.end() && want.second > granted->second &&
             (reported == before->second.connectionDemand.end() || reported->second <= granted->second);
    });
    return needsMore || serviceReport.appliedPosition != before->second.appliedPosition || serviceReport.epoch != before->second.epoch ||
           serviceReport.hasRecentWork != before->second.hasRecentWork || serviceReport.suspects != before->second.suspects;
  });
}

void ProxyNode::recordUnreachable(const ServiceName& service, const DatabaseName& database) {
  auto& unreachable = unreachable_[service][database];
  ++unreachable.attempts;
  unreachable.at = clock_.now();
}

void ProxyNode::processWaiting() {
  expireWaiting();
  placeWaiting();
}

std::shared_ptr<Session> ProxyNode::openSession(const KindName& kind, std::map<ServiceName, Position> minPositions,
                                                ConnectionId clientConnection) {
  if (draining() || sessions_.size() >= settings_.maxSessions) return nullptr;
  auto session = std::make_shared<Session>();
  session->id = SessionId{std::to_string(boot_ % 1000000) + "-" + std::to_string(++lastSession_)};
  session->kind = kind;
  session->minPositions = std::move(minPositions);
  session->clientConnection = clientConnection;
  session->lastUsedAt = clock_.now();
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
  closePinnedConnection(session);
}

void ProxyNode::clientDisconnected(ConnectionId clientConnection) {
  for (const auto& [id, session] : sessions_)
    if (session->clientConnection == clientConnection && (session->inTransaction || session->busy)) {
      journal_.count("sessions.walked_away");
      session->clientLeft = session->busy;
      if (session->inTransaction) session->transactionLost = true;
      if (session->stateful) session->stateLost = true;
      session->inTransaction = session->stateful = false;
      closePinnedConnection(session);
    }
}

void ProxyNode::closePinnedConnection(const std::shared_ptr<Session>& session) {
  if (!session->pinned) return;
  auto connection = std::exchange(session->pinned, nullptr);
  pool_.drop(connection);
}

Task<RequestReply> ProxyNode::run(std::shared_ptr<Session> session, KindName kind, DatabaseRequest request) {
  auto record = std::make_shared<RequestRecord>();
  record->session = session;
  record->kind = std::move(kind);
  record->request = std::move(request);
  record->createdAt = clock_.now();
  record->queueDeadline = clock_.now() + settings_.timings.queuePatience;
  session->lastUsedAt = clock_.now();
  session->busy = true;
  queue_.put([this, record] {
    admit(record);
  });
  while (record->stage != RequestStage::replied) co_await record->replied.wait(clock_);
  session->busy = false;
  session->lastUsedAt = clock_.now();
  co_return record->reply;
}

void ProxyNode::superviseBusyConnections() {
  auto now = clock_.now();
  auto busy = pool_.busyConnections();
  for (const auto& connection : busy) {
    if (connection->dropped) continue;
    auto session = connection->pinnedBy.lock();
    bool pinned = session && session->pinned == connection && !connection->running;
    const auto* service = directory_.service(connection->service);
    bool fits = service && service->plan && !mismatch(connection->kind, *connection);
    if (fits && pinned) {
      const auto& branch = service->plan->kinds.at(connection->kind).branch;
      fits = branch == connection->branch || pool_.moveToBranch(connection, *service, branch);
    }
    if (fits)
      connection->mismatchSince.reset();
    else if (!connection->mismatchSince)
      connection->mismatchSince = now;
    bool late = connection->mismatchSince && now - *connection->mismatchSince > settings_.timings.planGrace();
    if (pinned && !late) {
      late = !service || !directory_.leased(connection->service) || service->primary.epoch != connection->epoch ||
             drainGraceOver(*connection, session->inTransaction) || transactionTimeOver() ||
             (session->inTransaction && now - session->lastUsedAt > settings_.idleTransactionTimeout);
    }
    if (late) revokeConnection(connection);
  }
}

void ProxyNode::closeIdleSessions() {
  std::vector<std::shared_ptr<Session>> idle;
  for (const auto& [id, session] : sessions_)
    if (!session->busy && clock_.now() - session->lastUsedAt > settings_.idleSessionTimeout) idle.push_back(session);
  for (const auto& session : idle) closeSession(session);
}

void ProxyNode::superviseSurplus(const ServiceName& name, const ServiceDirectory::ServiceView& view) {
  if (pool_.within(name, view)) {
    followedMarks_[name] = view.mark;
    surplusSince_.erase(name);
    if (view.plan) planWithinLimits_[name] = view.plan->mark;
    return;
  }
  auto since = surplusSince_.try_emplace(name, clock_.now()).first->second;
  bool planned = view.plan && planWithinLimits_[name] == view.plan->mark;
  if (clock_.now() - since <= (planned ? settings_.timings.sharesFollowed : settings_.timings.planGrace())) return;
  for (const auto& connection : pool_.surplus(name, view)) revokeConnection(connection);
}

void ProxyNode::superviseServices() {
  pool_.closeAllExcept(directory_.services());
  for (const auto& [name, view] : directory_.services()) {
    if (!directory_.leased(name)) {
      pool_.closeAll(name);
      continue;
    }
    pool_.trim(name, view);
    pool_.closeBusyOfOlderEpochs(name, view.primary.epoch);
    superviseSurplus(name, view);
  }
}

void ProxyNode::drain() {
  if (drainingSince_) return;
  drainingSince_ = clock_.now();
  journal_.line("draining, " + std::to_string(sessions_.size()) + " sessions open");
}

bool ProxyNode::transactionTimeOver() const {
  return draining() && clock_.now() - *drainingSince_ > settings_.timings.stopTransactions;
}

bool ProxyNode::stopped() const {
  if (!drainingSince_) return false;
  auto since = clock_.now() - *drainingSince_;
  if (since > settings_.timings.stop) return true;
  if (requests_.inFlight() > 0 || since < 8 * settings_.timings.reportPause) return false;
  for (const auto& [id, session] : sessions_)
    if (session->inTransaction) return false;
  return true;
}

std::optional<std::string> ProxyNode::notReady() const {
  if (draining()) return "this node is leaving";
  if (!directory_.anyLease()) return "no current lease";
  if (directory_.planMark() == PlanVersion{}) return "no plan";
  for (const auto& [name, view] : directory_.services())
    if (!directory_.leased(name) || view.share.connections.empty()) return "no share of service " + name.get() + " yet";
  if (directory_.services().empty()) return "no news of any service";
  return std::nullopt;
}

}  // namespace tamarindshift

#include <algorithm>

#include "control/duties.hpp"

// What is done for each service at every pass, watching its primary, and the checks that recovery and promotion rest on.

namespace tamarindshift {

Task<void> Duties::superviseOnce(ServiceName name) {
  co_await drainLeavingDatabases(name);
  co_await readmitReturnedDatabases(name);
  co_await updateShares(name);
  co_await updateRations(name);
  if (!state_.services().contains(name)) co_return;
  auto service = state_.services().at(name);
  if (service.epoch == Epoch{}) co_return co_await chooseFirstPrimary(name);
  if (!service.promoted) co_return co_await promote(name);
  co_await demoteStrayPrimaries(name);
  if (!state_.services().contains(name) || state_.services().at(name).epoch != service.epoch) co_return;
  service = state_.services().at(name);
  if (!present(name, service.primary)) co_return co_await recover(name, "not in the plan");
  if (service.drained.contains(service.primary)) co_return co_await recover(name, "leaves");
  co_await monitorPrimary(name);
}

Task<void> Duties::monitorPrimary(ServiceName name) {
  auto epoch = state_.services().at(name).epoch;
  auto primary = state_.services().at(name).primary;
  const auto* contact = access_.database(name, primary);
  auto now = clock_.now();
  bool silent = !contact || !heartbeatIsRecent(*contact);
  bool reportsOtherRole = contact && contact->heartbeat.role != "primary";
  bool suspectedByNodes = suspected(name, primary);
  auto& duty = serviceDuties_[name];
  if (!silent && !reportsOtherRole && !suspectedByNodes) {
    duty.doubtedSince = Instant{};
    waitReasons_.erase(name);
    co_return co_await replaceDegradedPrimary(name);
  }
  if (duty.doubtedSince == Instant{}) duty.doubtedSince = now;
  auto since = silent ? duty.firstSeenAt : std::max(duty.doubtedSince, duty.epochSeenAt);
  if (!suspectedByNodes && now - since < timings_.silence()) co_return;
  if (now < duty.nextProbeAt) co_return;
  auto standing = co_await queryStatus(name, primary, timings_.probePatience);
  if (!standing && !suspectedByNodes) {
    co_await sleep(clock_, timings_.probePause);
    standing = co_await queryStatus(name, primary, timings_.probePatience);
  }
  if (!state_.services().contains(name) || state_.services().at(name).epoch != epoch) co_return;
  serviceDuties_[name].nextProbeAt = clock_.now() + timings_.silence() / 2;
  if (standing && standing->role == "primary")
    co_return setWaitReason(name, suspectedByNodes ? "nodes do not reach the primary, yet STATUS is well"
                                                   : "no heartbeats from the primary, yet STATUS is well");
  co_await recover(name, standing ? "primary says it is none" : silent ? "primary is silent" : "primary does not answer");
}

bool Duties::hasHealthyReplica(const ServiceName& name) const {
  const auto& service = state_.services().at(name);
  auto databases = state_.databases(name);
  return std::any_of(databases.begin(), databases.end(), [&](const auto& each) {
    const auto* contact = access_.database(name, each.first);
    return each.first != service.primary && !service.drained.contains(each.first) && contact && heartbeatIsRecent(*contact) &&
           contact->heartbeat.role == "replica" && !degraded(name, each.first) && !suspected(name, each.first);
  });
}

// Replaces a primary that at least half of the nodes report as degraded by a replica that is not, as a planned change. The
// condition must last as long as the change may take, and changes keep `reliefPause` apart.
Task<void> Duties::replaceDegradedPrimary(ServiceName name) {
  auto& duty = serviceDuties_[name];
  auto primary = state_.services().at(name).primary;
  auto now = clock_.now();
  const auto* seen = seenEpoch(name);
  bool settled = seen && seen->promotedAt && now - *seen->promotedAt > timings_.lease && now - duty.firstSeenAt > timings_.suspicionKept &&
                 (!duty.degradedRecoveryAt || now - *duty.degradedRecoveryAt > timings_.reliefPause);
  if (!discovered(name) || !settled || !degraded(name, primary) || !hasHealthyReplica(name)) {
    duty.degradedSince.reset();
    co_return;
  }
  if (!duty.degradedSince) duty.degradedSince = now;
  auto kept = timings_.strainKept + (everyNodeReported() ? Duration::zero() : timings_.lease + timings_.leaseMargin);
  if (now - *duty.degradedSince < kept) co_return;
  duty.degradedSince.reset();
  duty.degradedRecoveryAt = now;
  journal_.count("duties.reliefs");
  co_await recover(name, "primary is strained");
}

void Duties::setWaitReason(const ServiceName& name, const std::string& reason) {
  if (waitReasons_[name] == reason) return;
  waitReasons_[name] = reason;
  journal_.line("service " + name.get() + ": recovery waits: " + reason);
}

std::optional<DatabaseTarget> Duties::target(const ServiceName& service, const DatabaseName& database) const {
  const auto* planned = state_.plannedService(service);
  if (!planned) return std::nullopt;
  if (planned->discovered) {
    const auto* own = state_.enrolled(service, database);
    return own ? std::optional{DatabaseTarget{service, database, own->address}} : std::nullopt;
  }
  auto own = planned->databases.find(database);
  return own == planned->databases.end() ? std::nullopt : std::optional{DatabaseTarget{service, database, own->second.address}};
}

bool Duties::discovered(const ServiceName& name) const {
  const auto* planned = state_.plannedService(name);
  return planned && planned->discovered;
}

bool Duties::keepsAcknowledged(const ServiceName& name) const {
  const auto* planned = state_.plannedService(name);
  return !planned || planned->keepsAcknowledgedWrites();
}

// Also false if this member lost the duties in the meantime, since `serviceDuties_` is cleared then.
bool Duties::promotionPending(const ServiceName& name, Epoch epoch) const {
  auto found = state_.services().find(name);
  auto duty = serviceDuties_.find(name);
  bool seen = wasOnDuty_ && duty != serviceDuties_.end() && duty->second.epoch == epoch && duty->second.epochSeenAt != Instant{};
  return seen && found != state_.services().end() && found->second.epoch == epoch && !found->second.promoted && onDuty();
}

bool Duties::reportsPrimary(const ServiceName& name, const DatabaseName& database) const {
  const auto* contact = access_.database(name, database);
  return contact && contact->heartbeat.role == "primary" && heartbeatIsRecent(*contact);
}

bool Duties::suspected(const ServiceName& name, const DatabaseName& database) const {
  return halfOfNodesReport(name, database, &ServiceReport::suspects);
}

bool Duties::degraded(const ServiceName& name, const DatabaseName& database) const {
  return halfOfNodesReport(name, database, &ServiceReport::strained);
}

bool Duties::halfOfNodesReport(const ServiceName& name, const DatabaseName& database,
                               std::set<DatabaseName> ServiceReport::*reported) const {
  std::size_t workingNodes = 0;
  std::size_t reportingNodes = 0;
  for (const auto& [address, node] : access_.nodes()) {
    if (clock_.now() - node.lastContact > timings_.suspicionKept) continue;
    auto own = node.report.services.find(name);
    if (own == node.report.services.end() || !own->second.hasRecentWork) continue;
    ++workingNodes;
    if ((own->second.*reported).contains(database)) ++reportingNodes;
  }
  return reportingNodes > 0 && 2 * reportingNodes >= workingNodes;
}

bool Duties::oldLeasesExpired(const ServiceName& name) const {
  const auto* seen = seenEpoch(name);
  return seen && clock_.now() - seen->at > timings_.lease + timings_.leaseMargin;
}

const Duties::SeenEpoch* Duties::seenEpoch(const ServiceName& name) const {
  auto service = state_.services().find(name);
  auto found = seenEpochs_.find(name);
  bool same = service != state_.services().end() && found != seenEpochs_.end() && found->second.epoch == service->second.epoch;
  return same ? &found->second : nullptr;
}

bool Duties::everyNodeReported() const {
  return std::all_of(state_.nodes().begin(), state_.nodes().end(), [&](const auto& each) {
    const auto* known = reportOf(each.first);
    return known && clock_.now() - known->lastContact <= timings_.suspicionKept;
  });
}

bool Duties::hasLeftOldEpochs(const ServiceName& name, const ServiceState& service, const Address& node) const {
  const auto* known = reportOf(node);
  if (!known || known->report.boot != state_.nodes().at(node).boot) return false;
  auto own = known->report.services.find(name);
  return own != known->report.services.end() && own->second.epoch >= service.epoch;
}

std::optional<Address> Duties::nodeInOldEpoch(const ServiceName& name, const ServiceState& service) const {
  for (const auto& [address, node] : state_.nodes())
    if (!hasLeftOldEpochs(name, service, address)) return address;
  return std::nullopt;
}

void Duties::recordTerm(const ServiceName& name, Epoch term) {
  auto& highest = serviceDuties_[name].highestTerm;
  highest = std::max(highest, term);
}

Task<std::optional<DatabaseStatus>> Duties::queryStatus(ServiceName name, DatabaseName database, Duration timeout) {
  auto found = target(name, database);
  if (!found) co_return std::nullopt;
  journal_.count("duties.status_calls");
  auto standing = co_await databases_.status(*found, clock_.now() + timeout);
  if (standing) recordTerm(name, std::max(standing->epoch, standing->term));
  co_return standing;
}

Task<void> Duties::pollDatabase(ServiceName name, DatabaseName database, std::shared_ptr<StatusPoll> poll) {
  auto standing = co_await queryStatus(name, database, timings_.statusPatience);
  poll->standings[database] = standing;
  if (--poll->outstanding == 0) poll->done.open();
}

std::vector<DatabaseName> Duties::candidates(const ServiceName& name, const std::optional<DatabaseName>& excluded) const {
  std::vector<DatabaseName> wanted;
  std::vector<DatabaseName> others;
  const auto& drained = state_.services().at(name).drained;
  for (const auto& [database, own] : state_.databases(name)) {
    if (database == excluded) continue;
    const auto* contact = access_.database(name, database);
    bool lost = discovered(name) && ((contact && clock_.now() - contact->lastContact > 3 * timings_.silence()) ||
                                     suspected(name, database) || degraded(name, database));
    if (discovered(name) && drained.contains(database)) continue;
    (drained.contains(database) || lost ? others : wanted).push_back(database);
  }
  return wanted.empty() && discovered(name) ? others : wanted;
}

Task<std::shared_ptr<Duties::StatusPoll>> Duties::pollStatus(ServiceName name, std::set<DatabaseName> databases) {
  auto poll = std::make_shared<StatusPoll>();
  poll->outstanding = databases.size();
  for (const auto& database : databases) scope_.spawn(pollDatabase(name, database, poll));
  while (poll->outstanding > 0) co_await poll->done.wait(clock_);
  co_return poll;
}

Task<std::optional<Duties::Candidate>> Duties::findCandidate(ServiceName name, std::optional<DatabaseName> excluded) {
  auto names = candidates(name, excluded);
  std::set<DatabaseName> asked(names.begin(), names.end());
  auto answered = co_await pollStatus(name, asked);
  co_return bestCandidate(name, names, *answered);
}

std::optional<Duties::Candidate> Duties::bestCandidate(const ServiceName& name, const std::vector<DatabaseName>& among,
                                                       const StatusPoll& poll) {
  std::optional<Candidate> best;
  std::optional<DatabaseName> unansweredReplica;
  if (!state_.services().contains(name)) return best;
  for (const auto& database : among) {
    const auto& standing = poll.standings.at(database);
    if (!standing) {
      if (lostWithPrimary(name, database)) unansweredReplica = database;
      continue;
    }
    if (!access_.database(name, database)) continue;
    auto rank = [](const DatabaseStatus& each) {
      return std::pair(each.logEnd(), each.role == "primary");
    };
    if (!best || rank(*standing) > rank(best->standing)) best = Candidate{database, *standing, std::nullopt};
  }
  if (!best) {
    setWaitReason(name, "no database can become primary");
    return best;
  }
  best->unansweredReplica = unansweredReplica;
  return best;
}

std::optional<std::string> Duties::unreportedNodeReason(const ServiceName& name) const {
  const auto& service = state_.services().at(name);
  const auto* primary = access_.database(name, service.lastConfirmedPrimary);
  if (!primary || access_.lastContactOfLostNodes() > primary->lastContact - timings_.databaseOut)
    return "a node that may have acknowledged more is gone";
  for (const auto& [address, node] : state_.nodes())
    if (!reportOf(address)) return "node " + address.get() + " has not reported";
  for (const auto& [address, known] : access_.nodes()) {
    auto own = known.report.services.find(name);
    bool current = reportIsRecent(known) && own != known.report.services.end() && own->second.epoch >= service.epoch;
    if (!current && known.lastContact > primary->lastContact - timings_.databaseOut)
      return "node " + address.get() + " has not reported what it acknowledged";
  }
  return std::nullopt;
}

bool Duties::lostWithPrimary(const ServiceName& name, const DatabaseName& database) const {
  auto service = state_.services().find(name);
  auto duty = serviceDuties_.find(name);
  if (service == state_.services().end() || duty == serviceDuties_.end()) return false;
  const auto& lastConfirmedPrimary = service->second.lastConfirmedPrimary;
  if (lastConfirmedPrimary.get().empty() || database == lastConfirmedPrimary) return false;
  const auto* own = access_.database(name, database);
  const auto* primary = access_.database(name, lastConfirmedPrimary);
  if (!own) return clock_.now() - duty->second.firstSeenAt < timings_.databaseOut;
  auto primaryHeardAt = primary ? primary->lastContact : clock_.now();
  return primaryHeardAt - own->lastContact < timings_.databaseOut;
}

Task<bool> Duties::propose(ControlCommandType matter, std::string body) {
  ControlCommand update{matter, engine_.primComponent().primIndex, std::move(body)};
  auto outcome = co_await engine_.order(packed(update), clock_.now() + timings_.orderPatience);
  bool applied = outcome.status == OrderStatus::green && outcome.reply == "held";
  if (!applied) journal_.count("duties.orders_not_held");
  co_return applied;
}

}  // namespace tamarindshift

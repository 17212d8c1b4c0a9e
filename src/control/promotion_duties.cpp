#include <algorithm>

#include "control/duties.hpp"

// How a service without a primary gets one: choice of a database, proof that it holds what was acknowledged, promotion.

namespace tamarindshift {

Task<void> Duties::chooseFirstPrimary(ServiceName name) {
  if (!discovered(name)) co_return co_await recover(name, "first primary");
  std::optional<DatabaseName> chosen;
  Instant heardAt{};
  bool chosenLeaves = false;
  std::size_t leaders = 0;
  for (const auto& [database, own] : state_.databases(name)) {
    if (!reportsPrimary(name, database)) continue;
    ++leaders;
    auto at = access_.database(name, database)->lastContact;
    bool leaves = state_.drainMark(name, database) != nullptr;
    if (chosen && std::pair(!leaves, at) < std::pair(!chosenLeaves, heardAt)) continue;
    chosen = database;
    heardAt = at;
    chosenLeaves = leaves;
  }
  if (!chosen) {
    if (clock_.now() - serviceDuties_[name].epochSeenAt > timings_.firstPrimary) co_await recover(name, "first primary");
    co_return;
  }
  // only STATUS shows which of them has the newest term
  if (leaders > 1) co_return co_await recover(name, "first primary");
  journal_.line("service " + name.get() + ": first primary is database " + chosen->get() + ", by its heartbeat");
  RecoveryCommand update{name, Epoch{}, *chosen, "first primary", false, Epoch{}};
  co_await propose(ControlCommandType::recovery, packed(update));
}

Task<void> Duties::recover(ServiceName name, std::string reason) {
  auto service = state_.services().at(name);
  bool leaves = service.drained.contains(service.primary);
  std::optional<DatabaseName> excluded;
  if (service.epoch != Epoch{} && reason != "primary says it is none") excluded = service.primary;
  auto best = co_await findCandidate(name, excluded);
  if (!best || !state_.services().contains(name)) co_return;
  if (keepsAcknowledged(name) && !leaves && best->standing.logEnd() < access_.acknowledged(name)) {
    auto search = co_await searchCommits(name, access_.acknowledged(name));
    if (!state_.services().contains(name)) co_return;
    bool found = search.holder && search.holder->database != excluded;
    if (!found && search.waitReason) co_return setWaitReason(name, *search.waitReason);
    if (found) best = search.holder;
  }
  if (!onDuty()) co_return;
  bool orderly = leaves || reason == "primary is strained";
  bool planned = service.promoted ? orderly && reportsPrimary(name, service.primary) : service.plannedSwitchover;
  journal_.line("service " + name.get() + " recovers to " + best->database.get() + ": " + reason);
  RecoveryCommand update{name, service.epoch, best->database, reason, planned, best->standing.term};
  co_await propose(ControlCommandType::recovery, packed(update));
}

Task<void> Duties::demote(ServiceName name, DatabaseName former) {
  auto found = target(name, former);
  if (!found || !isSoleDutyHolder()) co_return;
  auto own = state_.services().at(name).epoch;
  auto epoch = discovered(name) ? Epoch{std::max(serviceDuties_[name].highestTerm, access_.acknowledged(name).epoch).get() + 1} : own;
  auto standing = co_await databases_.demote(*found, epoch, clock_.now() + timings_.statusPatience);
  if (!standing) co_return;
  recordTerm(name, std::max(standing->epoch, standing->term));
  auto& duty = serviceDuties_[name];
  if (standing->role == "primary" || duty.epoch != own) co_return;
  if (!duty.demotedAt) duty.demotedAt = clock_.now();
  duty.finalPosition = std::max(duty.finalPosition, standing->logEnd());
}

Task<void> Duties::demoteStrayPrimaries(ServiceName name) {
  std::vector<DatabaseName> strays;
  for (const auto& [database, own] : state_.databases(name))
    if (database != state_.services().at(name).primary && reportsPrimary(name, database)) strays.push_back(database);
  auto& duty = serviceDuties_[name];
  if (strays.empty() || !isSoleDutyHolder() || (discovered(name) && clock_.now() - duty.demoteRequestedAt < timings_.statusPatience))
    co_return;
  duty.demoteRequestedAt = clock_.now();
  for (const auto& database : strays) {
    journal_.count("duties.strays_demoted");
    co_await demote(name, database);
    if (!state_.services().contains(name)) co_return;
  }
}

Task<void> Duties::promote(ServiceName name) {
  auto service = state_.services().at(name);
  if (!present(name, service.primary) || service.drained.contains(service.primary))
    if (!service.lastConfirmedPrimary.get().empty() || !reportsPrimary(name, service.primary))
      co_return co_await recover(name, "chosen database is gone");
  bool first = service.lastConfirmedPrimary.get().empty();
  if (first && discovered(name) && reportsPrimary(name, service.primary)) {
    PromotedCommand update{name, service.epoch, service.chosenTerm};
    co_await propose(ControlCommandType::promoted, packed(update));
    co_return;
  }
  if (!isSoleDutyHolder()) co_return journal_.count("duties.unproved");
  auto oldEpochNode = first ? std::nullopt : nodeInOldEpoch(name, service);
  bool allLeft = !oldEpochNode;
  bool demotesFormer = !first && service.lastConfirmedPrimary != service.primary && !serviceDuties_[name].demotedAt &&
                       present(name, service.lastConfirmedPrimary);
  if (demotesFormer && (!service.plannedSwitchover || allLeft || oldLeasesExpired(name)) &&
      clock_.now() - serviceDuties_[name].demoteRequestedAt > timings_.statusPatience) {
    serviceDuties_[name].demoteRequestedAt = clock_.now();
    if (service.plannedSwitchover)
      co_await demote(name, service.lastConfirmedPrimary);
    else
      scope_.spawn(demote(name, service.lastConfirmedPrimary));
  }
  if (!promotionPending(name, service.epoch)) co_return;
  const auto& duty = serviceDuties_[name];
  bool ready = allLeft || oldLeasesExpired(name) || (!discovered(name) && duty.demotedAt);
  bool awaitsDemotion = service.plannedSwitchover && demotesFormer && !duty.demotedAt && !oldLeasesExpired(name);
  if (!ready && clock_.now() - duty.epochSeenAt > timings_.statusPatience)
    setWaitReason(name, "node " + oldEpochNode->get() + " has not left the former epoch");
  if (!ready || awaitsDemotion || clock_.now() < duty.nextPromoteAt) co_return;
  if (!co_await holdsRequiredCommits(name, service) || !promotionPending(name, service.epoch)) co_return;
  if (formerHolderMayHavePromoted(name))
    if (auto term = co_await alreadyPromotedTerm(name, service)) co_return co_await confirmPromotion(name, service, *term);
  if (promotionPending(name, service.epoch)) co_await requestPromotion(name, service);
}

// The epoch began before this member took the duties: a former holder may have requested the promotion already.
bool Duties::formerHolderMayHavePromoted(const ServiceName& name) const {
  const auto* seen = seenEpoch(name);
  return !seen || seen->at < dutiesTakenAt_;
}

// The term in which the database is primary by a former holder's call. Without this check each new holder would call again,
// and one promotion would look like two.
Task<std::optional<Epoch>> Duties::alreadyPromotedTerm(ServiceName name, ServiceState service) {
  auto proof = promotionProof(name, service);
  auto until = clock_.now() + timings_.statusPatience;
  while (promotionPending(name, service.epoch) && clock_.now() < until) {
    auto askedAt = clock_.now();
    auto standing = co_await queryStatus(name, service.primary, timings_.probePatience);
    if (standing) co_return proof.confirmedBy(*standing, askedAt) ? std::optional{standing->term} : std::nullopt;
    co_await sleep(clock_, timings_.duty);
  }
  co_return std::nullopt;
}

PromotionProof Duties::promotionProof(const ServiceName& name, const ServiceState& service) const {
  auto lastLed = std::max(service.confirmedTerm, access_.acknowledged(name).epoch);
  return PromotionProof(service.chosenTerm, lastLed, clock_.now(), timings_.promotionEffect);
}

Task<void> Duties::confirmPromotion(ServiceName name, ServiceState service, Epoch term) {
  if (!promotionPending(name, service.epoch)) co_return;
  waitReasons_.erase(name);
  PromotedCommand update{name, service.epoch, term};
  if (co_await propose(ControlCommandType::promoted, packed(update)))
    journal_.line("service " + name.get() + ": database " + service.primary.get() + " is primary in term " + std::to_string(term.get()));
}

LogPosition Duties::requiredPosition(const ServiceName& name, const ServiceState& service) const {
  const auto& duty = serviceDuties_.at(name);
  bool keeps = keepsAcknowledged(name);
  auto required = keeps ? access_.acknowledged(name) : LogPosition{};
  bool mayReach = duty.demotedAt && clock_.now() - *duty.demotedAt <= timings_.lease + timings_.leaseMargin;
  return mayReach && (keeps || service.plannedSwitchover) ? std::max(required, duty.finalPosition) : required;
}

// In a planned change the chosen database is asked again, for `statusPatience` at most, until it has reached the position.
Task<std::optional<DatabaseStatus>> Duties::awaitRequiredPosition(ServiceName name, ServiceState service, LogPosition required,
                                                                  std::optional<DatabaseStatus> standing) {
  auto deadline = clock_.now() + timings_.statusPatience;
  for (Duration pause = 30ms;; pause = pause * 3 / 2) {
    bool waits = service.plannedSwitchover && standing && standing->logEnd() < required && clock_.now() < deadline &&
                 promotionPending(name, service.epoch);
    if (!waits) co_return standing;
    co_await sleep(clock_, pause);
    standing = co_await queryStatus(name, service.primary, timings_.statusPatience);
  }
}

Task<bool> Duties::holdsRequiredCommits(ServiceName name, ServiceState service) {
  bool keeps = keepsAcknowledged(name);
  auto required = this->requiredPosition(name, service);
  if (!keeps && required == LogPosition{}) co_return true;
  auto among = keeps ? candidates(name, std::nullopt) : std::vector<DatabaseName>{};
  auto others = keeps && missingReportsReason(name, service) ? nonCandidateReplicas(name, among) : std::vector<DatabaseName>{};
  std::set<DatabaseName> asked(among.begin(), among.end());
  asked.insert(others.begin(), others.end());
  asked.insert(service.primary);
  auto poll = co_await this->pollStatus(name, asked);
  if (!promotionPending(name, service.epoch)) co_return false;
  auto standing = co_await awaitRequiredPosition(name, service, required, poll->standings[service.primary]);
  if (!promotionPending(name, service.epoch)) co_return false;
  if (!standing) {
    auto timeout = discovered(name) ? timings_.silence() : 2 * (timings_.lease + timings_.leaseMargin);
    if (clock_.now() - serviceDuties_[name].epochSeenAt > timeout) co_await recover(name, "chosen database is silent");
    co_return false;
  }
  if (!keeps) {
    if (standing->logEnd() >= required) co_return true;
    setWaitReason(name, "the chosen database has not yet what the former primary held");
    co_return false;
  }
  auto best = this->bestCandidate(name, among, *poll);
  if (!best) co_return false;
  bool lacks = standing->logEnd() < required;
  if (best->standing.logEnd() > standing->logEnd() && (lacks || missingReportsReason(name, service))) {
    co_await replaceChosen(name);
    co_return false;
  }
  if (lacks && !co_await mayAbandonCommits(name, service, required)) co_return false;
  auto why = missingReportsReason(name, service);
  if (!why) co_return true;
  auto mayHoldMore = best->unansweredReplica ? best->unansweredReplica : replicaThatMayHoldMore(name, among, *poll, *standing);
  if (!mayHoldMore) co_return true;
  setWaitReason(name, "database " + mayHoldMore->get() + " may hold more: " + *why);
  co_return false;
}

// Why there may be acknowledged commits that no node has reported.
std::optional<std::string> Duties::missingReportsReason(const ServiceName& name, const ServiceState& service) const {
  bool first = service.lastConfirmedPrimary.get().empty();
  return first ? std::nullopt : unreportedNodeReason(name);
}

// Only once no node works under the former epoch, so that the positions of the databases do not change any more.
Task<void> Duties::replaceChosen(ServiceName name) {
  bool settled = oldLeasesExpired(name) && clock_.now() - serviceDuties_[name].epochSeenAt > 2 * timings_.lease;
  if (settled) co_return co_await recover(name, "another database holds more");
  setWaitReason(name, "another database holds more than the chosen one");
}

// Whether the chosen database may become primary although it lacks acknowledged commits. If not, a database that holds them is
// chosen or waited for.
Task<bool> Duties::mayAbandonCommits(ServiceName name, ServiceState service, LogPosition required) {
  auto age = clock_.now() - serviceDuties_[name].epochSeenAt;
  if (age <= timings_.lease + timings_.leaseMargin + timings_.databaseOut) {
    setWaitReason(name, "the chosen database has not all that was acknowledged");
    co_return false;
  }
  auto search = co_await searchCommits(name, required);
  if (!promotionPending(name, service.epoch)) co_return false;
  if (search.holder && search.holder->database != service.primary) {
    co_await recover(name, "another database holds more");
    co_return false;
  }
  if (search.waitReason) {
    setWaitReason(name, *search.waitReason);
    co_return false;
  }
  journal_.line("service " + name.get() + ": abandons acknowledged commits that no planned database holds, chosen database " +
                service.primary.get());
  co_return true;
}

Task<void> Duties::requestPromotion(ServiceName name, ServiceState service) {
  auto chosen = target(name, service.primary);
  if (!chosen || !isSoleDutyHolder()) co_return;
  journal_.count("duties.promote_calls");
  auto calledAt = clock_.now();
  auto fence = engine_.primComponent().primIndex;
  DutyHolder holder{ownId_.address, fence, [this, fence] {
                      return isSoleDutyHolder() && engine_.primComponent().primIndex == fence;
                    }};
  dutyEpochCheck_.observe(holder.fencingToken, isSoleDutyHolder());
  auto outcome = co_await databases_.promote(*chosen, service.epoch, holder, calledAt + timings_.promotePatience);
  if (!promotionPending(name, service.epoch)) co_return;
  if (outcome == PromotionOutcome::refused) co_return co_await recover(name, "the chosen database cannot become primary");
  std::optional<Epoch> promotedTerm;
  if (outcome == PromotionOutcome::promoted) promotedTerm = service.epoch;
  if (outcome == PromotionOutcome::accepted) promotedTerm = co_await awaitPromotedTerm(name, service, calledAt);
  if (!promotionPending(name, service.epoch)) co_return;
  if (!promotedTerm) {
    auto& duty = serviceDuties_[name];
    duty.promoteBackoff = std::clamp<Duration>(2 * duty.promoteBackoff, timings_.duty, 16 * timings_.duty);
    duty.nextPromoteAt = clock_.now() + duty.promoteBackoff;
    co_return setWaitReason(name, outcome == PromotionOutcome::accepted ? "the chosen database does not say that it leads"
                                                                        : "the platform did not confirm the promotion");
  }
  co_await confirmPromotion(name, service, *promotedTerm);
}

// The term in which the database is primary, once its STATUS proves that the call has taken effect.
Task<std::optional<Epoch>> Duties::awaitPromotedTerm(ServiceName name, ServiceState service, Instant calledAt) {
  auto proof = promotionProof(name, service);
  auto askAgainAt = calledAt + timings_.leadPatience;
  bool reportedPrimary = false;
  Duration pause = timings_.duty;
  while (promotionPending(name, service.epoch) && clock_.now() - calledAt < 10 * timings_.leadPatience) {
    const auto* contact = access_.database(name, service.primary);
    bool reportsPrimaryNow = contact && contact->lastContact > calledAt && contact->heartbeat.role == "primary";
    if (reportsPrimaryNow && !std::exchange(reportedPrimary, true)) askAgainAt = clock_.now();
    if (clock_.now() >= askAgainAt) {
      auto askedAt = clock_.now();
      auto standing = co_await queryStatus(name, service.primary, timings_.statusPatience);
      if (standing && proof.confirmedBy(*standing, askedAt)) co_return standing->term;
      askAgainAt = clock_.now() + (reportedPrimary ? pause : timings_.leadPatience);
      pause = std::min(2 * pause, timings_.leadPatience);
    }
    co_await wake_.wait(clock_, clock_.now() + 20ms);
  }
  co_return std::nullopt;
}

}  // namespace tamarindshift

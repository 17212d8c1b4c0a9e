#include <algorithm>

#include "control/duties.hpp"

// How a service without a primary gets one: recovery, survey, promotion.

namespace tamarindshift {

Task<void> Duties::firstPrimary(ServiceName name) {
  if (!discovered(name)) co_return co_await recover(name, "first primary");
  std::optional<DatabaseName> chosen;
  Instant heardAt{};
  bool chosenLeaves = false;
  std::size_t leaders = 0;
  for (const auto& [database, own] : state_.databases(name)) {
    if (!saysPrimary(name, database)) continue;
    ++leaders;
    auto at = access_.database(name, database)->lastContact;
    bool leaves = state_.drainMark(name, database) != nullptr;
    if (chosen && std::pair(!leaves, at) < std::pair(!chosenLeaves, heardAt)) continue;
    chosen = database;
    heardAt = at;
    chosenLeaves = leaves;
  }
  if (!chosen) {
    if (clock_.now() - duties_[name].seenAt > timings_.firstPrimary) co_await recover(name, "first primary");
    co_return;
  }
  // which of them leads the newest term is told by their STATUS only
  if (leaders > 1) co_return co_await recover(name, "first primary");
  journal_.line("service " + name.get() + " has its first primary " + chosen->get());
  RecoveryCommand update{name, Epoch{}, *chosen, "first primary", false, Epoch{}};
  co_await order(ControlCommandType::recovery, packed(update));
}

Task<void> Duties::recover(ServiceName name, std::string reason) {
  auto service = state_.services().at(name);
  bool leaves = service.drained.contains(service.primary);
  std::optional<DatabaseName> besides;
  if (service.epoch != Epoch{} && reason != "primary says it is none") besides = service.primary;
  auto best = co_await candidate(name, besides);
  if (!best || !state_.services().contains(name)) co_return;
  if (keepsAcknowledged(name) && !leaves && best->standing.logEnd() < access_.acknowledged(name)) {
    auto search = co_await searchCommits(name, access_.acknowledged(name));
    if (!state_.services().contains(name)) co_return;
    bool found = search.holder && search.holder->database != besides;
    if (!found && search.mayReturn) co_return wait(name, *search.mayReturn);
    if (found) best = search.holder;
  }
  if (!onDuty()) co_return;
  bool orderly = leaves || reason == "primary is strained";
  bool planned = service.promoted ? orderly && saysPrimary(name, service.primary) : service.plannedSwitchover;
  journal_.line("service " + name.get() + " recovers to " + best->database.get() + ": " + reason);
  RecoveryCommand update{name, service.epoch, best->database, reason, planned, best->standing.term};
  co_await order(ControlCommandType::recovery, packed(update));
}

Task<void> Duties::demote(ServiceName name, DatabaseName former) {
  auto found = target(name, former);
  if (!found || !provedOnDuty()) co_return;
  auto own = state_.services().at(name).epoch;
  auto epoch = discovered(name) ? Epoch{std::max(duties_[name].highestTerm, access_.acknowledged(name).epoch).get() + 1} : own;
  auto standing = co_await databases_.demote(*found, epoch, clock_.now() + timings_.statusPatience);
  if (!standing) co_return;
  noteTerm(name, std::max(standing->epoch, standing->term));
  auto& duty = duties_[name];
  if (standing->role == "primary" || duty.epoch != own) co_return;
  if (!duty.demotedAt) duty.demotedAt = clock_.now();
  duty.finalPlace = std::max(duty.finalPlace, standing->logEnd());
}

Task<void> Duties::demoteStray(ServiceName name) {
  std::vector<DatabaseName> strays;
  for (const auto& [database, own] : state_.databases(name))
    if (database != state_.services().at(name).primary && saysPrimary(name, database)) strays.push_back(database);
  auto& duty = duties_[name];
  if (strays.empty() || !provedOnDuty() || (discovered(name) && clock_.now() - duty.demoteAskedAt < timings_.statusPatience)) co_return;
  duty.demoteAskedAt = clock_.now();
  for (const auto& database : strays) {
    journal_.count("duties.strays_demoted");
    co_await demote(name, database);
    if (!state_.services().contains(name)) co_return;
  }
}

Task<void> Duties::promote(ServiceName name) {
  auto service = state_.services().at(name);
  if (!present(name, service.primary) || service.drained.contains(service.primary))
    if (!service.lastConfirmedPrimary.get().empty() || !saysPrimary(name, service.primary))
      co_return co_await recover(name, "chosen database is gone");
  bool first = service.lastConfirmedPrimary.get().empty();
  if (first && discovered(name) && saysPrimary(name, service.primary)) {
    PromotedCommand update{name, service.epoch, service.chosenTerm};
    co_await order(ControlCommandType::promoted, packed(update));
    co_return;
  }
  if (!provedOnDuty()) co_return journal_.count("duties.unproved");
  auto behind = first ? std::nullopt : leftBehind(name, service);
  bool left = !behind;
  bool demotes =
      !first && service.lastConfirmedPrimary != service.primary && !duties_[name].demotedAt && present(name, service.lastConfirmedPrimary);
  if (demotes && (!service.plannedSwitchover || left || leasesOver(name)) &&
      clock_.now() - duties_[name].demoteAskedAt > timings_.statusPatience) {
    duties_[name].demoteAskedAt = clock_.now();
    if (service.plannedSwitchover)
      co_await demote(name, service.lastConfirmedPrimary);
    else
      scope_.spawn(demote(name, service.lastConfirmedPrimary));
  }
  if (!pending(name, service.epoch)) co_return;
  const auto& duty = duties_[name];
  bool ready = left || leasesOver(name) || (!discovered(name) && duty.demotedAt);
  bool awaitsDemote = service.plannedSwitchover && demotes && !duty.demotedAt && !leasesOver(name);
  if (!ready && clock_.now() - duty.seenAt > timings_.statusPatience)
    wait(name, "node " + behind->get() + " has not left the former epoch");
  if (!ready || awaitsDemote || clock_.now() < duty.promoteAfter) co_return;
  if (!co_await holdsNeeded(name, service) || !pending(name, service.epoch)) co_return;
  if (mayHaveBeenCalled(name))
    if (auto term = co_await leadsAlready(name, service)) co_return co_await confirm(name, service, *term);
  if (pending(name, service.epoch)) co_await callPromotion(name, service);
}

// the epoch began before this member took the duties: a former holder may have called for the promotion
bool Duties::mayHaveBeenCalled(const ServiceName& name) const {
  const auto* seen = seenEpoch(name);
  return !seen || seen->at < takenAt_;
}

// the term in which the database leads by a former holder's call; holders that call in turn would be taken for two
Task<std::optional<Epoch>> Duties::leadsAlready(ServiceName name, ServiceState service) {
  auto proof = promotionProof(name, service);
  auto until = clock_.now() + timings_.statusPatience;
  while (pending(name, service.epoch) && clock_.now() < until) {
    auto askedAt = clock_.now();
    auto standing = co_await status(name, service.primary, timings_.probePatience);
    if (standing) co_return proof.shownBy(*standing, askedAt) ? std::optional{standing->term} : std::nullopt;
    co_await sleep(clock_, timings_.duty);
  }
  co_return std::nullopt;
}

PromotionProof Duties::promotionProof(const ServiceName& name, const ServiceState& service) const {
  auto lastLed = std::max(service.confirmedTerm, access_.acknowledged(name).epoch);
  return PromotionProof(service.chosenTerm, lastLed, clock_.now(), timings_.promotionEffect);
}

Task<void> Duties::confirm(ServiceName name, ServiceState service, Epoch term) {
  if (!pending(name, service.epoch)) co_return;
  waits_.erase(name);
  PromotedCommand update{name, service.epoch, term};
  if (co_await order(ControlCommandType::promoted, packed(update)))
    journal_.line("service " + name.get() + " is led by " + service.primary.get());
}

LogPosition Duties::needed(const ServiceName& name, const ServiceState& service) const {
  const auto& duty = duties_.at(name);
  bool keeps = keepsAcknowledged(name);
  auto needed = keeps ? access_.acknowledged(name) : LogPosition{};
  bool mayReach = duty.demotedAt && clock_.now() - *duty.demotedAt <= timings_.lease + timings_.leaseMargin;
  return mayReach && (keeps || service.plannedSwitchover) ? std::max(needed, duty.finalPlace) : needed;
}

// in a planned change the chosen database is asked again until it has what is needed, for a while
Task<std::optional<DatabaseStatus>> Duties::reached(ServiceName name, ServiceState service, LogPosition needed,
                                                    std::optional<DatabaseStatus> standing) {
  auto deadline = clock_.now() + timings_.statusPatience;
  for (Duration pause = 30ms;; pause = pause * 3 / 2) {
    bool waits =
        service.plannedSwitchover && standing && standing->logEnd() < needed && clock_.now() < deadline && pending(name, service.epoch);
    if (!waits) co_return standing;
    co_await sleep(clock_, pause);
    standing = co_await status(name, service.primary, timings_.statusPatience);
  }
}

Task<bool> Duties::holdsNeeded(ServiceName name, ServiceState service) {
  bool keeps = keepsAcknowledged(name);
  auto needed = this->needed(name, service);
  if (!keeps && needed == LogPosition{}) co_return true;
  auto among = keeps ? candidates(name, std::nullopt) : std::vector<DatabaseName>{};
  auto others = keeps && mayLackReports(name, service) ? otherReplicas(name, among) : std::vector<DatabaseName>{};
  std::set<DatabaseName> asked(among.begin(), among.end());
  asked.insert(others.begin(), others.end());
  asked.insert(service.primary);
  auto survey = co_await this->survey(name, asked);
  if (!pending(name, service.epoch)) co_return false;
  auto standing = co_await reached(name, service, needed, survey->standings[service.primary]);
  if (!pending(name, service.epoch)) co_return false;
  if (!standing) {
    auto patience = discovered(name) ? timings_.silence() : 2 * (timings_.lease + timings_.leaseMargin);
    if (clock_.now() - duties_[name].seenAt > patience) co_await recover(name, "chosen database is silent");
    co_return false;
  }
  if (!keeps) {
    if (standing->logEnd() >= needed) co_return true;
    wait(name, "the chosen database has not yet what the former primary held");
    co_return false;
  }
  auto best = this->best(name, among, *survey);
  if (!best) co_return false;
  bool lacks = standing->logEnd() < needed;
  if (best->standing.logEnd() > standing->logEnd() && (lacks || mayLackReports(name, service))) {
    co_await chooseBetter(name);
    co_return false;
  }
  if (lacks && !co_await givesUp(name, service, needed)) co_return false;
  auto why = mayLackReports(name, service);
  if (!why) co_return true;
  auto mayHoldMore = best->mayHoldMore ? best->mayHoldMore : mayHoldMoreThan(name, among, *survey, *standing);
  if (!mayHoldMore) co_return true;
  wait(name, "database " + mayHoldMore->get() + " may hold more: " + *why);
  co_return false;
}

// why commits may have been acknowledged that no node has told of
std::optional<std::string> Duties::mayLackReports(const ServiceName& name, const ServiceState& service) const {
  bool first = service.lastConfirmedPrimary.get().empty();
  return first ? std::nullopt : unproved(name);
}

// once no node works under the former epoch, so that what the databases hold does not change any more
Task<void> Duties::chooseBetter(ServiceName name) {
  bool settled = leasesOver(name) && clock_.now() - duties_[name].seenAt > 2 * timings_.lease;
  if (settled) co_return co_await recover(name, "another database holds more");
  wait(name, "another database holds more than the chosen one");
}

// whether the chosen database may lead though it lacks acknowledged commits; else one that holds them is chosen, or awaited
Task<bool> Duties::givesUp(ServiceName name, ServiceState service, LogPosition needed) {
  auto age = clock_.now() - duties_[name].seenAt;
  if (age <= timings_.lease + timings_.leaseMargin + timings_.databaseOut) {
    wait(name, "the chosen database has not all that was acknowledged");
    co_return false;
  }
  auto search = co_await searchCommits(name, needed);
  if (!pending(name, service.epoch)) co_return false;
  if (search.holder && search.holder->database != service.primary) {
    co_await recover(name, "another database holds more");
    co_return false;
  }
  if (search.mayReturn) {
    wait(name, *search.mayReturn);
    co_return false;
  }
  journal_.line("service " + name.get() + " gives up acknowledged commits that no planned database holds");
  co_return true;
}

Task<void> Duties::callPromotion(ServiceName name, ServiceState service) {
  auto chosen = target(name, service.primary);
  if (!chosen || !provedOnDuty()) co_return;
  journal_.count("duties.promote_calls");
  auto calledAt = clock_.now();
  auto fence = engine_.primComponent().primIndex;
  DutyHolder holder{own_.address, fence, [this, fence] {
                      return provedOnDuty() && engine_.primComponent().primIndex == fence;
                    }};
  dutyEpochs_.note(holder.fencingToken, provedOnDuty());
  auto outcome = co_await databases_.promote(*chosen, service.epoch, holder, calledAt + timings_.promotePatience);
  if (!pending(name, service.epoch)) co_return;
  if (outcome == PromotionOutcome::refused) co_return co_await recover(name, "the chosen database cannot become primary");
  std::optional<Epoch> led;
  if (outcome == PromotionOutcome::promoted) led = service.epoch;
  if (outcome == PromotionOutcome::accepted) led = co_await leads(name, service, calledAt);
  if (!pending(name, service.epoch)) co_return;
  if (!led) {
    auto& duty = duties_[name];
    duty.promotePause = std::clamp<Duration>(2 * duty.promotePause, timings_.duty, 16 * timings_.duty);
    duty.promoteAfter = clock_.now() + duty.promotePause;
    co_return wait(name, outcome == PromotionOutcome::accepted ? "the chosen database does not say that it leads"
                                                               : "the platform did not confirm the promotion");
  }
  co_await confirm(name, service, *led);
}

// the term in which the database leads, once its STATUS proves that the call has taken effect
Task<std::optional<Epoch>> Duties::leads(ServiceName name, ServiceState service, Instant calledAt) {
  auto proof = promotionProof(name, service);
  auto askAgainAt = calledAt + timings_.leadPatience;
  bool toldToLead = false;
  Duration pause = timings_.duty;
  while (pending(name, service.epoch) && clock_.now() - calledAt < 10 * timings_.leadPatience) {
    const auto* sign = access_.database(name, service.primary);
    bool tellsToLead = sign && sign->lastContact > calledAt && sign->heartbeat.role == "primary";
    if (tellsToLead && !std::exchange(toldToLead, true)) askAgainAt = clock_.now();
    if (clock_.now() >= askAgainAt) {
      auto askedAt = clock_.now();
      auto standing = co_await status(name, service.primary, timings_.statusPatience);
      if (standing && proof.shownBy(*standing, askedAt)) co_return standing->term;
      askAgainAt = clock_.now() + (toldToLead ? pause : timings_.leadPatience);
      pause = std::min(2 * pause, timings_.leadPatience);
    }
    co_await wake_.wait(clock_, clock_.now() + 20ms);
  }
  co_return std::nullopt;
}

}  // namespace tamarindshift

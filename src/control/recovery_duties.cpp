#include <algorithm>

#include "control/duties.hpp"

namespace tamarindshift {

Task<void> Duties::careFor(ServiceName name) {
  co_await departures(name);
  co_await returns(name);
  co_await shares(name);
  co_await rations(name);
  if (!state_.services().contains(name)) co_return;
  auto service = state_.services().at(name);
  if (service.epoch == Epoch{}) co_return co_await firstPrimary(name);
  if (!service.promoted) co_return co_await promote(name);
  co_await demoteStray(name);
  if (!state_.services().contains(name) || state_.services().at(name).epoch != service.epoch) co_return;
  service = state_.services().at(name);
  if (!present(name, service.primary)) co_return co_await recover(name, "not in the plan");
  if (service.drained.contains(service.primary)) co_return co_await recover(name, "leaves");
  co_await watch(name);
}

Task<void> Duties::watch(ServiceName name) {
  auto epoch = state_.services().at(name).epoch;
  auto primary = state_.services().at(name).primary;
  const auto* sign = access_.database(name, primary);
  auto now = clock_.now();
  bool silent = !sign || !fresh(*sign);
  bool renounced = sign && sign->heartbeat.role != "primary";
  bool doubted = suspected(name, primary);
  auto& duty = duties_[name];
  if (!silent && !renounced && !doubted) {
    duty.silentSince = Instant{};
    waits_.erase(name);
    co_return co_await relieve(name);
  }
  if (duty.silentSince == Instant{}) duty.silentSince = now;
  auto since = silent ? duty.takenAt : std::max(duty.silentSince, duty.seenAt);
  if (!doubted && now - since < timings_.silence()) co_return;
  if (now < duty.probeAfter) co_return;
  auto standing = co_await status(name, primary, timings_.probePatience);
  if (!standing && !doubted) {
    co_await sleep(clock_, timings_.probePause);
    standing = co_await status(name, primary, timings_.probePatience);
  }
  if (!state_.services().contains(name) || state_.services().at(name).epoch != epoch) co_return;
  duties_[name].probeAfter = clock_.now() + timings_.silence() / 2;
  if (standing && standing->role == "primary")
    co_return wait(name,
                   doubted ? "nodes do not reach the primary, yet STATUS is well" : "no heartbeats from the primary, yet STATUS is well");
  co_await recover(name, standing ? "primary says it is none" : silent ? "primary is silent" : "primary does not answer");
}

bool Duties::hasBetter(const ServiceName& name) const {
  const auto& service = state_.services().at(name);
  auto databases = state_.databases(name);
  return std::any_of(databases.begin(), databases.end(), [&](const auto& each) {
    const auto* sign = access_.database(name, each.first);
    return each.first != service.primary && !service.drained.contains(each.first) && sign && fresh(*sign) &&
           sign->heartbeat.role == "replica" && !strained(name, each.first) && !suspected(name, each.first);
  });
}

// a primary that most nodes find strained for as long as the change may cost gives its place to a replica that is not, in order and not too
// often
Task<void> Duties::relieve(ServiceName name) {
  auto& duty = duties_[name];
  auto primary = state_.services().at(name).primary;
  auto now = clock_.now();
  const auto* seen = seenEpoch(name);
  bool settled = seen && seen->promotedAt && now - *seen->promotedAt > timings_.lease && now - duty.takenAt > timings_.suspicionKept &&
                 (!duty.relievedAt || now - *duty.relievedAt > timings_.reliefPause);
  if (!discovered(name) || !settled || !strained(name, primary) || !hasBetter(name)) {
    duty.strainedSince.reset();
    co_return;
  }
  if (!duty.strainedSince) duty.strainedSince = now;
  auto kept = timings_.strainKept + (everyNodeHeard() ? Duration::zero() : timings_.lease + timings_.leaseMargin);
  if (now - *duty.strainedSince < kept) co_return;
  duty.strainedSince.reset();
  duty.relievedAt = now;
  journal_.count("duties.reliefs");
  co_await recover(name, "primary is strained");
}

void Duties::wait(const ServiceName& name, const std::string& reason) {
  if (waits_[name] == reason) return;
  waits_[name] = reason;
  journal_.line("service " + name.get() + " waits: " + reason);
}

std::optional<DatabaseTarget> Duties::target(const ServiceName& service, const DatabaseName& database) const {
  const auto* planned = state_.planned(service);
  if (!planned) return std::nullopt;
  if (planned->discovered) {
    const auto* own = state_.enrolled(service, database);
    return own ? std::optional{DatabaseTarget{service, database, own->address}} : std::nullopt;
  }
  auto own = planned->databases.find(database);
  return own == planned->databases.end() ? std::nullopt : std::optional{DatabaseTarget{service, database, own->second.address}};
}

bool Duties::discovered(const ServiceName& name) const {
  const auto* planned = state_.planned(name);
  return planned && planned->discovered;
}

bool Duties::keepsAcknowledged(const ServiceName& name) const {
  const auto* planned = state_.planned(name);
  return !planned || planned->keepsAcknowledged();
}

// also false where the duties were laid down since, and what was seen under them is forgotten
bool Duties::pending(const ServiceName& name, Epoch epoch) const {
  auto found = state_.services().find(name);
  auto duty = duties_.find(name);
  bool seen = wasOnDuty_ && duty != duties_.end() && duty->second.epoch == epoch && duty->second.seenAt != Instant{};
  return seen && found != state_.services().end() && found->second.epoch == epoch && !found->second.promoted && onDuty();
}

bool Duties::saysPrimary(const ServiceName& name, const DatabaseName& database) const {
  const auto* sign = access_.database(name, database);
  return sign && sign->heartbeat.role == "primary" && fresh(*sign);
}

bool Duties::suspected(const ServiceName& name, const DatabaseName& database) const {
  return mostSay(name, database, &ServiceReport::suspects);
}

bool Duties::strained(const ServiceName& name, const DatabaseName& database) const {
  return mostSay(name, database, &ServiceReport::strained);
}

bool Duties::mostSay(const ServiceName& name, const DatabaseName& database, std::set<DatabaseName> ServiceReport::*told) const {
  std::size_t working = 0;
  std::size_t suspecting = 0;
  for (const auto& [address, node] : access_.nodes()) {
    if (clock_.now() - node.heardAt > timings_.suspicionKept) continue;
    auto own = node.report.services.find(name);
    if (own == node.report.services.end() || !own->second.working) continue;
    ++working;
    if ((own->second.*told).contains(database)) ++suspecting;
  }
  return suspecting > 0 && 2 * suspecting >= working;
}

bool Duties::leasesOver(const ServiceName& name) const {
  const auto* seen = seenEpoch(name);
  return seen && clock_.now() - seen->at > timings_.lease + timings_.leaseMargin;
}

const Duties::SeenEpoch* Duties::seenEpoch(const ServiceName& name) const {
  auto service = state_.services().find(name);
  auto found = seenEpochs_.find(name);
  bool same = service != state_.services().end() && found != seenEpochs_.end() && found->second.epoch == service->second.epoch;
  return same ? &found->second : nullptr;
}

bool Duties::everyNodeHeard() const {
  return std::all_of(state_.nodes().begin(), state_.nodes().end(), [&](const auto& each) {
    const auto* known = heard(each.first);
    return known && clock_.now() - known->heardAt <= timings_.suspicionKept;
  });
}

bool Duties::leftOldEpochs(const ServiceName& name, const ServiceState& service, const Address& node) const {
  const auto* known = heard(node);
  if (!known || known->report.boot != state_.nodes().at(node).boot) return false;
  auto own = known->report.services.find(name);
  return own != known->report.services.end() && own->second.epoch >= service.epoch;
}

std::optional<Address> Duties::leftBehind(const ServiceName& name, const ServiceState& service) const {
  for (const auto& [address, node] : state_.nodes())
    if (!leftOldEpochs(name, service, address)) return address;
  return std::nullopt;
}

void Duties::noteTerm(const ServiceName& name, Epoch term) {
  auto& highest = duties_[name].highestTerm;
  highest = std::max(highest, term);
}

Task<std::optional<DatabaseStanding>> Duties::status(ServiceName name, DatabaseName database, Duration patience) {
  auto found = target(name, database);
  if (!found) co_return std::nullopt;
  journal_.count("duties.status_calls");
  auto standing = co_await databases_.status(*found, clock_.now() + patience);
  if (standing) noteTerm(name, std::max(standing->epoch, standing->term));
  co_return standing;
}

Task<void> Duties::ask(ServiceName name, DatabaseName database, std::shared_ptr<Survey> survey) {
  auto standing = co_await status(name, database, timings_.statusPatience);
  survey->standings[database] = standing;
  if (--survey->missing == 0) survey->done.open();
}

std::vector<DatabaseName> Duties::candidates(const ServiceName& name, const std::optional<DatabaseName>& besides) const {
  std::vector<DatabaseName> wanted;
  std::vector<DatabaseName> others;
  const auto& drained = state_.services().at(name).drained;
  for (const auto& [database, own] : state_.databases(name)) {
    if (database == besides) continue;
    const auto* sign = access_.database(name, database);
    bool lost = discovered(name) &&
                ((sign && clock_.now() - sign->heardAt > 3 * timings_.silence()) || suspected(name, database) || strained(name, database));
    if (discovered(name) && drained.contains(database)) continue;
    (drained.contains(database) || lost ? others : wanted).push_back(database);
  }
  return wanted.empty() && discovered(name) ? others : wanted;
}

Task<std::shared_ptr<Duties::Survey>> Duties::survey(ServiceName name, std::set<DatabaseName> databases) {
  auto survey = std::make_shared<Survey>();
  survey->missing = databases.size();
  for (const auto& database : databases) scope_.spawn(ask(name, database, survey));
  while (survey->missing > 0) co_await survey->done.wait(clock_);
  co_return survey;
}

Task<std::optional<Duties::Candidate>> Duties::candidate(ServiceName name, std::optional<DatabaseName> besides) {
  auto names = candidates(name, besides);
  std::set<DatabaseName> asked(names.begin(), names.end());
  auto answered = co_await survey(name, asked);
  co_return best(name, names, *answered);
}

std::optional<Duties::Candidate> Duties::best(const ServiceName& name, const std::vector<DatabaseName>& among, const Survey& survey) {
  std::optional<Candidate> best;
  std::optional<DatabaseName> mayHoldMore;
  if (!state_.services().contains(name)) return best;
  for (const auto& database : among) {
    const auto& standing = survey.standings.at(database);
    if (!standing) {
      if (diedWithPrimary(name, database)) mayHoldMore = database;
      continue;
    }
    if (!access_.database(name, database)) continue;
    auto rank = [](const DatabaseStanding& each) {
      return std::pair(each.place(), each.role == "primary");
    };
    if (!best || rank(*standing) > rank(best->standing)) best = Candidate{database, *standing, std::nullopt};
  }
  if (!best) {
    wait(name, "no database can become primary");
    return best;
  }
  best->mayHoldMore = mayHoldMore;
  return best;
}

std::optional<std::string> Duties::unproved(const ServiceName& name) const {
  const auto& service = state_.services().at(name);
  const auto* primary = access_.database(name, service.servedBy);
  if (!primary || access_.lastLost() > primary->heardAt - timings_.databaseOut) return "a node that may have acknowledged more is gone";
  for (const auto& [address, node] : state_.nodes())
    if (!heard(address)) return "node " + address.get() + " has not reported";
  for (const auto& [address, known] : access_.nodes()) {
    auto own = known.report.services.find(name);
    bool current = reporting(known) && own != known.report.services.end() && own->second.epoch >= service.epoch;
    if (!current && known.heardAt > primary->heardAt - timings_.databaseOut)
      return "node " + address.get() + " has not reported what it acknowledged";
  }
  return std::nullopt;
}

bool Duties::diedWithPrimary(const ServiceName& name, const DatabaseName& database) const {
  auto service = state_.services().find(name);
  auto duty = duties_.find(name);
  if (service == state_.services().end() || duty == duties_.end()) return false;
  const auto& servedBy = service->second.servedBy;
  if (servedBy.get().empty() || database == servedBy) return false;
  const auto* own = access_.database(name, database);
  const auto* primary = access_.database(name, servedBy);
  if (!own) return clock_.now() - duty->second.takenAt < timings_.databaseOut;
  auto primaryHeardAt = primary ? primary->heardAt : clock_.now();
  return primaryHeardAt - own->heardAt < timings_.databaseOut;
}

Task<bool> Duties::order(ControlMatter matter, std::string body) {
  ControlUpdate update{matter, engine_.primComponent().primIndex, std::move(body)};
  auto outcome = co_await engine_.order(packed(update), clock_.now() + timings_.orderPatience);
  bool held = outcome.status == OrderStatus::green && outcome.reply == "held";
  if (!held) journal_.count("duties.orders_not_held");
  co_return held;
}

}  // namespace tamarindshift

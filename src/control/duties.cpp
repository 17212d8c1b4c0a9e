#include "control/duties.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "control/share_cut.hpp"
#include "pool/database_json.hpp"

namespace tamarindshift {

namespace {

Place placeOf(const DatabaseStanding& standing) { return Place{standing.epoch, standing.position}; }

}  // namespace

Duties::Duties(Clock& clock, Journal& journal, const Timings& timings, ReplicationEngine& engine, const ControlState& state,
               AccessTables& access, WebLink& databases, Address platform, ServerId own)
    : clock_(clock), journal_(journal), timings_(timings), engine_(engine), state_(state), access_(access), databases_(databases), platform_(std::move(platform)), own_(std::move(own)) {
  scope_.spawn(run());
}

bool Duties::onDuty() const {
  return engine_.state() == EngineState::regPrim && !engine_.conf().set.empty() && *engine_.conf().set.begin() == own_;
}

Task<void> Duties::run() {
  for (;;) {
    co_await sleep(clock_, timings_.duty);
    if (onDuty() != wasOnDuty_) {
      wasOnDuty_ = onDuty();
      takenAt_ = clock_.now();
      duties_.clear();
      waits_.clear();
      journal_.line(wasOnDuty_ ? "takes the duties" : "lays the duties down");
    }
    if (wasOnDuty_) pass();
  }
}

void Duties::pass() {
  access_.forgetNodesBefore(clock_.now() - 10 * timings_.nodeSilence);
  if (!nodesBusy_) scope_.spawn(nodes());
  for (const auto& [name, service] : state_.services()) {
    auto& duty = duties_[name];
    auto now = clock_.now();
    if (duty.seenAt == Instant{} || duty.epoch != service.epoch) {
      if (duty.takenAt == Instant{}) duty.takenAt = now;
      duty.epoch = service.epoch;
      duty.seenAt = now;
      duty.demoted = false;
      duty.finalPlace = {};
      duty.demoteAskedAt = duty.silentSince = {};
    }
    if (!duty.busy) scope_.spawn(care(name));
  }
}

Task<void> Duties::care(ServiceName name) {
  duties_[name].busy = true;
  co_await careFor(name);
  duties_[name].busy = false;
}

Task<void> Duties::careFor(ServiceName name) {
  co_await departures(name);
  co_await returns(name);
  co_await shares(name);
  if (!state_.services().contains(name)) co_return;
  auto service = state_.services().at(name);
  if (service.epoch == Epoch{}) co_return co_await recover(name, "first primary");
  if (!service.promoted) co_return co_await promote(name);
  co_await demoteStray(name);
  if (!state_.services().contains(name) || state_.services().at(name).epoch != service.epoch) co_return;
  service = state_.services().at(name);
  auto primary = service.primary;
  if (!planned(name, primary)) co_return co_await recover(name, "not in the plan");
  if (service.drained.contains(primary)) co_return co_await recover(name, "leaves");
  const auto* sign = access_.database(name, primary);
  auto now = clock_.now();
  bool silent = !sign || now - sign->heardAt > timings_.databaseSilence;
  bool renounced = sign && sign->beat.role != "primary";
  auto& duty = duties_[name];
  if (!silent && !renounced) {
    duty.silentSince = Instant{};
    waits_.erase(name);
    co_return;
  }
  if (duty.silentSince == Instant{}) duty.silentSince = now;
  auto since = silent ? duty.takenAt : std::max(duty.silentSince, duty.seenAt);
  if (now - since < timings_.databaseSilence) co_return;
  auto standing = co_await status(name, primary);
  if (standing && standing->role == "primary") co_return wait(name, "no beats from the primary, yet STATUS is well");
  co_await recover(name, standing ? "primary says it is none" : "primary is silent");
}

void Duties::wait(const ServiceName& name, const std::string& reason) {
  if (waits_[name] == reason) return;
  waits_[name] = reason;
  journal_.line("service " + name.get() + " waits: " + reason);
}

const PlanDatabase* Duties::planned(const ServiceName& service, const DatabaseName& database) const {
  if (!state_.plan()) return nullptr;
  auto found = state_.plan()->services.find(service);
  if (found == state_.plan()->services.end()) return nullptr;
  auto own = found->second.databases.find(database);
  return own == found->second.databases.end() ? nullptr : &own->second;
}

Task<std::optional<DatabaseStanding>> Duties::status(ServiceName name, DatabaseName database) {
  const auto* found = planned(name, database);
  if (!found) co_return std::nullopt;
  auto outcome = co_await databases_.call(found->address, "GET", "/status", {}, clock_.now() + timings_.statusPatience);
  if (!outcome || outcome->status != 200) co_return std::nullopt;
  co_return standingFromJson(outcome->body);
}

Task<std::optional<Duties::Candidate>> Duties::candidate(ServiceName name, std::optional<DatabaseName> besides) {
  std::vector<DatabaseName> names;
  std::optional<Candidate> best;
  for (const auto& [database, own] : state_.plan()->services.at(name).databases)
    if (database != besides && !state_.services().at(name).drained.contains(database)) names.push_back(database);
  bool allReached = true;
  std::optional<DatabaseName> mayHoldMore;
  for (const auto& database : names) {
    auto standing = co_await status(name, database);
    if (!standing) {
      allReached = false;
      if (diedWithPrimary(name, database)) mayHoldMore = database;
      continue;
    }
    if (!access_.database(name, database)) continue;
    auto rank = [](const DatabaseStanding& each) { return std::pair(placeOf(each), each.role == "primary"); };
    if (!best || rank(*standing) > rank(best->standing)) best = Candidate{database, *standing, true, std::nullopt};
  }
  if (!best) {
    wait(name, "no database can become primary");
    co_return best;
  }
  best->allReached = allReached;
  best->mayHoldMore = mayHoldMore;
  co_return best;
}

std::optional<std::string> Duties::unproved(const ServiceName& name) const {
  const auto& service = state_.services().at(name);
  const auto* primary = access_.database(name, service.servedBy);
  if (!primary || access_.lastLost() > primary->heardAt - timings_.databaseOut) return "a node that may have acknowledged more is gone";
  for (const auto& [address, node] : state_.nodes())
    if (!heard(address)) return "node " + address.get() + " has not reported";
  for (const auto& [address, known] : access_.nodes()) {
    auto own = known.report.services.find(name);
    bool current = clock_.now() - known.heardAt <= timings_.nodeSilence && own != known.report.services.end() && own->second.epoch >= service.epoch;
    if (!current && known.heardAt > primary->heardAt - timings_.databaseOut) return "node " + address.get() + " has not reported what it acknowledged";
  }
  return std::nullopt;
}

bool Duties::diedWithPrimary(const ServiceName& name, const DatabaseName& database) const {
  const auto& service = state_.services().at(name);
  if (service.servedBy.get().empty() || database == service.servedBy) return false;
  const auto* own = access_.database(name, database);
  const auto* primary = access_.database(name, service.servedBy);
  if (!own) return clock_.now() - duties_.at(name).takenAt < timings_.databaseOut;
  auto primaryHeardAt = primary ? primary->heardAt : clock_.now();
  return primaryHeardAt - own->heardAt < timings_.databaseOut;
}

Task<bool> Duties::order(ControlMatter matter, std::string body) {
  ControlUpdate update{matter, engine_.primComponent().primIndex, std::move(body)};
  auto outcome = co_await engine_.order(packed(update), clock_.now() + timings_.orderPatience);
  bool held = outcome.fate == OrderFate::green && outcome.reply == "held";
  if (!held) journal_.count("duties.orders_not_held");
  co_return held;
}

Task<void> Duties::recover(ServiceName name, std::string reason) {
  auto service = state_.services().at(name);
  bool leaves = service.drained.contains(service.primary);
  std::optional<DatabaseName> besides;
  if (service.epoch != Epoch{} && reason != "primary says it is none") besides = service.primary;
  auto best = co_await candidate(name, besides);
  if (!best) co_return;
  bool retired = !planned(name, service.servedBy) && best->allReached;
  if (!leaves && !retired && placeOf(best->standing) < access_.acknowledged(name))
    co_return wait(name, "no database holds all that was acknowledged");
  if (!onDuty()) co_return;
  journal_.line("service " + name.get() + " recovers to " + best->database.get() + ": " + reason);
  RecoveryUpdate update{name, service.epoch, best->database, reason};
  co_await order(ControlMatter::recovery, packed(update));
}

Task<void> Duties::demote(ServiceName name, DatabaseName former) {
  const auto* found = planned(name, former);
  if (!found) co_return;
  nlohmann::json body{{"epoch", state_.services().at(name).epoch.get()}};
  auto outcome = co_await databases_.call(found->address, "POST", "/demote", body.dump(), clock_.now() + timings_.statusPatience);
  if (!outcome || outcome->status != 200) co_return;
  auto standing = standingFromJson(outcome->body);
  if (!standing) co_return;
  auto& duty = duties_[name];
  duty.demoted = true;
  duty.finalPlace = std::max(duty.finalPlace, placeOf(*standing));
}

Task<void> Duties::demoteStray(ServiceName name) {
  std::vector<DatabaseName> strays;
  for (const auto& [database, own] : state_.plan()->services.at(name).databases) {
    const auto* sign = access_.database(name, database);
    if (database != state_.services().at(name).primary && sign && sign->beat.role == "primary" &&
        clock_.now() - sign->heardAt < timings_.databaseSilence)
      strays.push_back(database);
  }
  for (const auto& database : strays) {
    journal_.count("duties.strays_demoted");
    co_await demote(name, database);
  }
}

Task<void> Duties::promote(ServiceName name) {
  auto service = state_.services().at(name);
  if (!planned(name, service.primary) || service.drained.contains(service.primary))
    co_return co_await recover(name, "chosen database is gone");
  bool first = service.servedBy.get().empty();
  if (!first && service.servedBy != service.primary && !duties_[name].demoted &&
      clock_.now() - duties_[name].demoteAskedAt > timings_.statusPatience) {
    duties_[name].demoteAskedAt = clock_.now();
    co_await demote(name, service.servedBy);
  }
  if (!state_.services().contains(name) || state_.services().at(name).epoch != service.epoch) co_return;
  auto& duty = duties_[name];
  bool leasesOver = clock_.now() - duty.seenAt > timings_.lease + timings_.leaseMargin;
  if (!first && !leasesOver && !duty.demoted) co_return;
  auto standing = co_await status(name, service.primary);
  if (!standing) {
    if (clock_.now() - duties_[name].seenAt > 2 * (timings_.lease + timings_.leaseMargin))
      co_await recover(name, "chosen database is silent");
    co_return;
  }
  auto needed = access_.acknowledged(name);
  if (!leasesOver) needed = std::max(needed, duties_[name].finalPlace);
  auto best = co_await candidate(name, std::nullopt);
  if (!best) co_return;
  if (placeOf(*standing) < needed) {
    if (placeOf(best->standing) >= needed && best->database != service.primary && leasesOver && clock_.now() - duties_[name].seenAt > 2 * timings_.lease)
      co_return co_await recover(name, "another database holds more");
    bool givenUp = !planned(name, service.servedBy) && best->allReached && best->database == service.primary &&
                   clock_.now() - duties_[name].seenAt > timings_.lease + timings_.leaseMargin + timings_.databaseOut;
    if (!givenUp) co_return wait(name, "the chosen database has not all that was acknowledged");
    journal_.line("service " + name.get() + " gives up acknowledged commits that no planned database holds");
  }
  if (auto why = best->mayHoldMore && !first ? unproved(name) : std::nullopt)
    co_return wait(name, "database " + best->mayHoldMore->get() + " fell silent with the primary and may hold more: " + *why);
  const auto* chosen = planned(name, service.primary);
  if (!chosen || !onDuty()) co_return;
  nlohmann::json body{{"service", name.get()}, {"database", service.primary.get()}, {"address", chosen->address.get()}, {"epoch", service.epoch.get()}};
  journal_.count("duties.promote_calls");
  auto outcome = co_await databases_.call(platform_, "POST", "/promote", body.dump(), clock_.now() + timings_.promotePatience);
  if (!outcome || outcome->status != 200) co_return wait(name, "the platform did not confirm the promotion");
  waits_.erase(name);
  PromotedUpdate update{name, service.epoch};
  co_await order(ControlMatter::promoted, packed(update));
}

const AccessTables::Node* Duties::heard(const Address& node) const {
  auto found = access_.nodes().find(node);
  return found == access_.nodes().end() ? nullptr : &found->second;
}

bool Duties::silent(const Address& node) const {
  const auto* known = heard(node);
  return clock_.now() - std::max(known ? known->heardAt : Instant{}, takenAt_) > timings_.nodeSilence;
}

std::uint64_t Duties::followed(const ServiceName& name, const Address& node) const {
  const auto* known = heard(node);
  if (!known) return 0;
  auto own = known->report.services.find(name);
  return own == known->report.services.end() ? 0 : own->second.followed;
}

bool Duties::overdue(const ServiceName& name, const Address& node) const {
  const auto& seen = duties_.at(name).reservedSeenAt;
  auto found = seen.find(node);
  return found != seen.end() && clock_.now() - found->second.second > timings_.shareHold();
}

bool Duties::everyNodeFollows(const ServiceName& name, const ServiceState& service) const {
  for (const auto& [address, node] : state_.nodes()) {
    auto reserved = service.reserved.find(address);
    bool silentButCounted = silent(address) && (!service.holds(address) || (reserved != service.reserved.end() &&
                                                (followed(name, address) >= reserved->second.basis || overdue(name, address))));
    if (!silentButCounted && followed(name, address) < service.sharesAt) return false;
  }
  return true;
}

Grants Duties::reserve(const ServiceName& name, const ServiceState& service) {
  auto& seen = duties_[name].reservedSeenAt;
  std::erase_if(seen, [&](const auto& each) { return !service.reserved.contains(each.first); });
  Grants reserved;
  for (const auto& [node, share] : service.reserved) {
    auto& [at, since] = seen[node];
    if (std::exchange(at, share.at) != share.at || !silent(node)) since = clock_.now();
    bool released = silent(node) ? overdue(name, node) : followed(name, node) >= share.at;
    if (!released) reserved[node] = share.most;
  }
  for (const auto& [node, branches] : service.grants) {
    auto known = state_.nodes().find(node);
    bool leaves = known == state_.nodes().end() || known->second.draining || silent(node);
    if (!leaves) continue;
    for (const auto& [branch, amount] : branches) {
      auto& most = reserved[node][branch];
      most = std::max(most, amount);
    }
  }
  return reserved;
}

Task<void> Duties::shares(ServiceName name) {
  if (!state_.services().contains(name)) co_return;
  auto service = state_.services().at(name);
  auto& duty = duties_[name];
  Wanted wanted;
  Weights weights;
  for (const auto& [address, node] : state_.nodes()) {
    if (node.draining || silent(address)) continue;
    const auto* known = heard(address);
    if (!known) co_return;
    auto own = known->report.services.find(name);
    weights[address] = state_.plan()->weightOf(address);
    wanted[address] = own == known->report.services.end() ? std::map<BranchName, std::uint32_t>{} : own->second.wanted;
  }
  auto reserved = reserve(name, service);
  Grants reservedBefore;
  for (const auto& [node, share] : service.reserved) reservedBefore[node] = share.most;
  auto target = cutShares(without(state_.plan()->services.at(name), reserved), wanted, weights);
  if (target == service.grants && reserved == reservedBefore) co_return;
  auto lower = lowered(service.grants, target);
  if (lower != service.grants || reserved != reservedBefore) {
    bool pressing = reserved != reservedBefore || target.size() != service.grants.size();
    for (const auto& [node, branches] : wanted)
      for (const auto& [branch, want] : branches) {
        auto held = service.grants.find(node);
        if (held == service.grants.end() || !held->second.contains(branch)) continue;
        pressing = pressing || (want > held->second.at(branch) && target[node][branch] > held->second.at(branch));
      }
    if (!pressing || clock_.now() - duty.sharesMovedAt < timings_.lease / 2) co_return;
    duty.sharesMovedAt = clock_.now();
    SharesUpdate update{name, service.sharesAt, lower, reserved};
    co_await order(ControlMatter::shares, packed(update));
    co_return;
  }
  if (!everyNodeFollows(name, service)) co_return;
  SharesUpdate update{name, service.sharesAt, target, reserved};
  co_await order(ControlMatter::shares, packed(update));
}

Task<void> Duties::nodes() {
  nodesBusy_ = true;
  std::vector<NodeReport> reports;
  for (const auto& [address, node] : access_.nodes())
    if (clock_.now() - node.heardAt < timings_.nodeSilence) reports.push_back(node.report);
  for (const auto& report : reports) {
    auto known = state_.nodes().find(report.node);
    NodeUpdate update{report.node, report.district, report.boot};
    bool same = known != state_.nodes().end() && known->second.boot == report.boot && known->second.district == report.district;
    if (!same && !report.draining)
      co_await order(ControlMatter::enrolNode, packed(update));
    else if (same && report.draining && !known->second.draining)
      co_await order(ControlMatter::drainNode, packed(update));
  }
  std::vector<NodeUpdate> gone;
  for (const auto& [address, node] : state_.nodes()) {
    bool holds = std::any_of(state_.services().begin(), state_.services().end(), [&](const auto& each) { return each.second.holds(address); });
    if (!holds && silent(address)) gone.push_back(NodeUpdate{address, node.district, node.boot});
  }
  for (const auto& update : gone) {
    journal_.line("node " + update.node.get() + " is let go");
    co_await order(ControlMatter::removeNode, packed(update));
  }
  nodesBusy_ = false;
}

Task<void> Duties::departures(ServiceName name) {
  std::vector<DatabaseUpdate> leaving;
  for (const auto& [database, own] : state_.plan()->services.at(name).databases) {
    const auto* sign = access_.database(name, database);
    if (!sign || !sign->beat.leaving || clock_.now() - sign->heardAt > timings_.databaseSilence) continue;
    if (!state_.services().at(name).drained.contains(database)) leaving.push_back({name, database, sign->beat.boot, sign->beat.number});
  }
  for (const auto& update : leaving) {
    journal_.line("database " + update.database.get() + " leaves, its beats say");
    co_await order(ControlMatter::drainDatabase, packed(update));
  }
}

Task<void> Duties::returns(ServiceName name) {
  if (!state_.services().contains(name)) co_return;
  std::vector<DatabaseName> returned;
  for (const auto& [database, mark] : state_.services().at(name).drained) {
    const auto* sign = access_.database(name, database);
    if (!sign || sign->beat.leaving || clock_.now() - sign->heardAt > timings_.databaseSilence) continue;
    if (sign->beat.boot != mark.boot || sign->beat.number > mark.number) returned.push_back(database);
  }
  for (const auto& database : returned) {
    journal_.line("database " + database.get() + " is back");
    DatabaseUpdate update{name, database, 0, 0};
    co_await order(ControlMatter::returnDatabase, packed(update));
  }
}

}  // namespace tamarindshift

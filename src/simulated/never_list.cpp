#include "simulated/never_list.hpp"

#include <algorithm>

#include "proxy/database_json.hpp"

namespace tamarindshift {

std::vector<std::string> NeverList::check() {
  gatherHistories();
  for (const auto& slip : fleet_.slips()) fault(slip);
  HistoryChecks checks(fleet_.callers().operations(), fleet_.shape().callers, fleet_.start(), [this](std::string text) {
    fault(std::move(text));
  });
  checks.writesOnce(kept());
  checks.readsFresh();
  sessionsApart();
  backInTime();
  leftAlone();
  plansHeld();
  capsHeld();
  stopsAnswered();
  for (const auto& each : fleet_.callers().faults()) fault(each);
  return faults_;
}

void NeverList::fault(std::string text) {
  if (++ofKind_[text.substr(0, 12)] <= 4) faults_.push_back(std::move(text));
}

std::string NeverList::clockText(Instant at) const {
  return std::to_string(milliseconds(at - fleet_.start()).count()) + "ms";
}

void NeverList::gatherHistories() {
  for (const auto& database : fleet_.databases()) {
    auto& history = histories_[database->settings.address.get()];
    history = database->history;
    if (database->node) history.insert(history.end(), database->node->history().begin(), database->node->history().end());
  }
}

const std::map<std::string, std::string>* NeverList::primaryData(const ServiceName& service) const {
  for (const auto& replica : fleet_.replicas()) {
    if (!replica->node || replica->clock->frozen() || !replica->node->engine().primaryConfirmedAt()) continue;
    const auto& state = replica->node->state();
    auto held = state.services().find(service);
    if (held == state.services().end() || !held->second.promoted) continue;
    const auto& planned = state.plan()->services.at(service).databases;
    auto primary = planned.find(held->second.primary);
    for (const auto& database : fleet_.databases())
      if (primary != planned.end() && database->settings.address == primary->second.address && database->node &&
          database->node->standing().role == "primary" && database->node->standing().epoch == held->second.epoch)
        return &database->node->data();
  }
  return nullptr;
}

const std::map<std::string, std::string>* NeverList::bestCopy(const ServiceName& service) const {
  const std::map<std::string, std::string>* best = nullptr;
  LogPosition most;
  for (const auto& database : fleet_.databases()) {
    if (database->settings.service != service) continue;
    const auto& disk = database->node ? database->node->disk() : database->disk;
    LogPosition place{disk.epoch, Position{disk.position}};
    if (best && place < most) continue;
    most = place;
    best = database->node ? &database->node->data() : &database->disk.data;
  }
  return best;
}

KeptData NeverList::kept() {
  KeptData kept;
  for (std::size_t service = 1; service <= fleet_.shape().services; ++service) {
    ServiceName name{"s" + std::to_string(service)};
    const auto* data = primaryData(name);
    if (!data && !down_.contains(name)) fault("service " + name.get() + " has no primary at the end");
    if (!data) data = bestCopy(name);
    if (data) kept[name] = *data;
  }
  return kept;
}

void NeverList::sessionsApart() {
  SessionChecks checks(fleet_.callers().sent(), histories_, [this](std::string text) {
    fault(std::move(text));
  });
  checks.eachConnection();
  runs_ = checks.runs().size();
  if (runs_ == 0 && !fleet_.shape().callers.empty()) fault("nothing ran at any database");
  std::map<std::string, std::pair<ServiceName, DatabaseName>> names;
  for (const auto& database : fleet_.databases())
    names[database->settings.address.get()] = {database->settings.service, database->settings.name};
  for (const auto& run : checks.runs()) {
    const auto& [service, name] = names.at(run.database);
    Address machine{SimulatedNetwork::host(run.sent->proxy) + ":1"};
    if (!fleet_.plans().allows(run.sent->kind, service, name, Address{run.database}, machine, run.entry->at))
      fault("no plan in force allows " + run.sent->kind.get() + " of " + machine.get() + " at " + service.get() + "/" + name.get() + " " +
            run.database + " at " + clockText(run.entry->at) + ": " + requestToJson(run.sent->request));
  }
}

void NeverList::backInTime() {
  windows_ = fleet_.availability().check(fleet_.callers().operations(), fleet_.shape().callers, fleet_.start(), [this](std::string text) {
    fault(std::move(text));
  });
}

void NeverList::leftAlone() {
  for (const auto& database : fleet_.databases()) {
    auto name = database->settings.service.get() + "/" + database->settings.name.get();
    for (const auto& leave : database->leaves)
      for (const auto& entry : histories_[database->settings.address.get()])
        if (entry.at > leave.at + 7s && entry.at < leave.back)
          fault(name + " was sent work at " + clockText(entry.at) + ", it left at " + clockText(leave.at));
  }
}

void NeverList::plansHeld() {
  const PlanAsk* highest = nullptr;
  for (const auto& plan : fleet_.plans().all()) {
    if (plan.status != 200) continue;
    if (!plan.sound) fault("a broken plan was acknowledged");
    if (!highest || plan.mark > highest->mark) highest = &plan;
  }
  if (!highest) return;
  for (const auto& replica : fleet_.replicas()) {
    if (!replica->node || replica->clock->frozen() || !replica->node->engine().primaryConfirmedAt()) continue;
    const auto& state = replica->node->state();
    if (!state.plan() || state.plan()->mark.get() < highest->mark)
      fault("acknowledged plan " + std::to_string(highest->mark) + " is gone at " + replica->host);
    if (state.plan() && state.plan()->mark.get() == highest->mark && state.planText() != highest->text)
      fault("another plan is held under mark " + std::to_string(highest->mark));
  }
}

void NeverList::capsHeld() {
  for (const auto& database : fleet_.databases()) {
    auto over = database->overCap;
    if (database->node)
      if (auto found = database->journal->counters().find("connections.over_cap"); found != database->journal->counters().end())
        over += found->second;
    if (over > 0) fault("the cap of " + database->settings.name.get() + " was reached " + std::to_string(over) + " times");
    auto openings = database->openings;
    if (database->node) openings.insert(openings.end(), database->node->openings().begin(), database->node->openings().end());
    for (const auto& opening : openings)
      if (auto cap = fleet_.plans().cap(database->settings.service, opening.at); opening.connections > cap)
        fault(database->settings.name.get() + " was opened connection " + std::to_string(opening.connections) + " at " +
              clockText(opening.at) + ", the plans in force allow " + std::to_string(cap));
  }
}

void NeverList::stopsAnswered() {
  for (const auto& machine : fleet_.machines())
    if (machine->unansweredAtStop > 0) fault(machine->host + " stopped with " + std::to_string(machine->unansweredAtStop) + " unanswered");
}

}  // namespace tamarindshift

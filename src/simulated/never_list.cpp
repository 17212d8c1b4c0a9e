#include "simulated/never_list.hpp"

#include <algorithm>
#include <sstream>

namespace tamarindshift {

namespace {

std::multiset<std::string> split(const std::string& list) {
  std::multiset<std::string> tokens;
  std::istringstream stream(list);
  for (std::string token; std::getline(stream, token, ',');)
    if (!token.empty()) tokens.insert(token);
  return tokens;
}

}  // namespace

std::vector<std::string> NeverList::check() {
  gatherHistories();
  faults_ = fleet_.slips();
  writesOnce();
  readsFresh();
  textsUnchanged();
  leftAlone();
  plansHeld();
  capsHeld();
  stopsAnswered();
  for (const auto& each : fleet_.callers().faults()) fault(each);
  return faults_;
}

void NeverList::fault(std::string text) {
  if (faults_.size() < 20) faults_.push_back(std::move(text));
}

std::string NeverList::clockText(Instant at) const { return std::to_string(milliseconds(at - fleet_.start()).count()) + "ms"; }

void NeverList::gatherHistories() {
  for (const auto& database : fleet_.databases()) {
    auto& history = histories_[database->settings.service.get() + "/" + database->settings.name.get()];
    history = database->history;
    if (database->node) history.insert(history.end(), database->node->history().begin(), database->node->history().end());
  }
}

void NeverList::writesOnce() {
  std::map<ServiceName, std::map<std::string, std::multiset<std::string>>> kept;
  for (const auto& database : fleet_.databases())
    if (database->node && database->node->standing().role == "primary" && database->node->standing().epoch != Epoch{})
      for (const auto& replica : fleet_.replicas()) {
        if (!replica->node || replica->clock->frozen()) continue;
        auto service = replica->node->state().services().find(database->settings.service);
        if (service == replica->node->state().services().end() || service->second.primary != database->settings.name) continue;
        for (const auto& [key, list] : database->node->data()) kept[database->settings.service][key] = split(list);
      }
  std::map<KindName, ServiceName> services;
  for (const auto& kind : fleet_.shape().callers) services[kind.kind] = kind.service;
  for (const auto& operation : fleet_.callers().operations()) {
    auto service = kept.find(services[operation.kind]);
    if (service == kept.end()) continue;
    for (const auto& token : operation.tokens) {
      auto times = service->second[operation.key].count(token);
      if (times > 1) fault("written twice: " + token);
      if (operation.outcome == "done" && times == 0) fault("acknowledged and gone: " + token + " ended " + clockText(operation.endedAt));
      if (operation.outcome != "done" && operation.outcome != "unknown" && times > 0)
        fault("kept after '" + operation.outcome + "' (" + operation.reason + "): " + token + " ended " + clockText(operation.endedAt));
    }
  }
}

void NeverList::readsFresh() {
  std::map<std::string, std::vector<std::pair<Instant, std::string>>> acknowledged;
  for (const auto& operation : fleet_.callers().operations())
    if (operation.outcome == "done")
      for (const auto& token : operation.tokens) acknowledged[operation.key].emplace_back(operation.endedAt, token);
  std::map<KindName, Duration> bounds;
  for (const auto& kind : fleet_.shape().callers)
    bounds[kind.kind] = kind.primary ? Duration::zero() : Duration{kind.kind.get().starts_with("status") ? 2500ms : 1500ms};
  for (const auto& operation : fleet_.callers().operations()) {
    if (!operation.reads || operation.outcome != "done" || operation.key.empty()) continue;
    auto seen = split(operation.result);
    for (const auto& [at, token] : acknowledged[operation.key])
      if (at < operation.startedAt - bounds[operation.kind] && !seen.contains(token))
        fault(operation.kind.get() + " read at " + clockText(operation.startedAt) + " missed " + token + " of " + clockText(at));
    for (const auto& token : operation.ownBefore)
      if (!seen.contains(token)) fault("a session's read missed its own " + token);
  }
}

void NeverList::textsUnchanged() {
  const auto& texts = fleet_.callers().texts();
  std::map<std::string, std::size_t> writes;
  for (const auto& [database, history] : histories_)
    for (const auto& entry : history) {
      if (!entry.request.text.empty() && !texts.contains(entry.request.text)) fault(database + " ran what no caller sent: " + entry.request.text);
      if (entry.request.text.starts_with("append ") && entry.done && ++writes[entry.request.text] > 1) fault("ran twice: " + entry.request.text);
    }
}

void NeverList::leftAlone() {
  for (const auto& database : fleet_.databases()) {
    if (!database->leftAt) continue;
    auto name = database->settings.service.get() + "/" + database->settings.name.get();
    for (const auto& entry : histories_[name]) {
      bool back = database->returnedAt && entry.at >= *database->returnedAt;
      if (entry.at > *database->leftAt + 7s && !back) fault(name + " was sent work at " + clockText(entry.at) + ", it left at " + clockText(*database->leftAt));
    }
  }
}

void NeverList::plansHeld() {
  const PlanAsk* highest = nullptr;
  for (const auto& plan : fleet_.plans()) {
    if (plan.status != 200) continue;
    if (!plan.sound) fault("a broken plan was acknowledged");
    if (!highest || plan.mark > highest->mark) highest = &plan;
  }
  if (!highest) return;
  for (const auto& replica : fleet_.replicas()) {
    if (!replica->node || replica->clock->frozen() || !replica->node->engine().provedAt()) continue;
    const auto& state = replica->node->state();
    if (!state.plan() || state.plan()->mark.get() < highest->mark) fault("acknowledged plan " + std::to_string(highest->mark) + " is gone at " + replica->host);
    if (state.plan() && state.plan()->mark.get() == highest->mark && state.planText() != highest->text) fault("another plan is held under mark " + std::to_string(highest->mark));
  }
}

void NeverList::capsHeld() {
  for (const auto& database : fleet_.databases()) {
    auto over = database->overCap;
    if (database->node)
      if (auto found = database->journal->counters().find("connections.over_cap"); found != database->journal->counters().end()) over += found->second;
    if (over > 0) fault("the cap of " + database->settings.name.get() + " was reached " + std::to_string(over) + " times");
    if (database->mostConnections > fleet_.shape().connections)
      fault(database->settings.name.get() + " had " + std::to_string(database->mostConnections) + " connections, the plan allows " + std::to_string(fleet_.shape().connections));
  }
}

void NeverList::stopsAnswered() {
  for (const auto& machine : fleet_.machines())
    if (machine->unansweredAtStop > 0) fault(machine->host + " stopped with " + std::to_string(machine->unansweredAtStop) + " unanswered");
}

}  // namespace tamarindshift

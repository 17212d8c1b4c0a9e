#include "simulated/never_list.hpp"

#include <algorithm>
namespace tamarindshift {

std::vector<std::string> NeverList::check() {
  gatherHistories();
  for (const auto& slip : fleet_.slips())
    if (faults_.size() < 5) faults_.push_back(slip);
  HistoryChecks checks(fleet_.callers().operations(), fleet_.shape().callers, fleet_.start(), [this](std::string text) { fault(std::move(text)); });
  checks.writesOnce(kept());
  checks.readsFresh();
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

KeptData NeverList::kept() const {
  KeptData kept;
  for (const auto& database : fleet_.databases()) {
    if (!database->node || database->node->standing().role != "primary" || database->node->standing().epoch == Epoch{}) continue;
    for (const auto& replica : fleet_.replicas()) {
      if (!replica->node || replica->clock->frozen()) continue;
      auto service = replica->node->state().services().find(database->settings.service);
      if (service != replica->node->state().services().end() && service->second.primary == database->settings.name)
        kept[database->settings.service] = database->node->data();
    }
  }
  return kept;
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

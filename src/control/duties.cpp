#include "control/duties.hpp"

#include <algorithm>

namespace tamarindshift {

Duties::Duties(Clock& clock, Journal& journal, const Timings& timings, ReplicationEngine& engine, const ControlState& state,
               AccessTables& access, DatabaseControl& databases, ServerId own, std::size_t losses, bool rationing)
    : clock_(clock),
      journal_(journal),
      timings_(timings),
      engine_(engine),
      state_(state),
      access_(access),
      databases_(databases),
      own_(std::move(own)),
      members_(clock, journal, engine, losses, timings.memberAway),
      rationing_(rationing) {
  scope_.spawn(run());
  scope_.spawn(wakeOnGreen());
}

bool Duties::onDuty() const {
  return engine_.state() == EngineState::regPrim && !engine_.conf().members.empty() && *engine_.conf().members.begin() == own_;
}

bool Duties::provedOnDuty() const {
  auto proved = engine_.primaryConfirmedAt();
  return onDuty() && proved && clock_.now() - *proved < timings_.group.suspicionTimeout;
}

Task<void> Duties::run() {
  for (;;) {
    co_await sleep(clock_, timings_.dutyPause);
    co_await wake_.wait(clock_, clock_.now() + timings_.duty);
    noteEpochs();
    checkConfiguration();
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

Task<void> Duties::wakeOnGreen() {
  for (;;) {
    co_await engine_.changed().wait(clock_);
    wake();
  }
}

void Duties::noteEpochs() {
  std::erase_if(seenEpochs_, [&](const auto& each) {
    return !state_.services().contains(each.first);
  });
  for (const auto& [name, service] : state_.services()) {
    auto& seen = seenEpochs_[name];
    if (seen.at == Instant{} || seen.epoch != service.epoch) seen = SeenEpoch{service.epoch, clock_.now(), std::nullopt};
    if (service.promoted && !seen.promotedAt) seen.promotedAt = clock_.now();
  }
}

void Duties::checkConfiguration() {
  planSame_ = planVersions_.note(state_.plan() ? state_.plan()->mark : PlanMark{});
}

void Duties::pass() {
  access_.forgetNodesBefore(clock_.now() - 10 * timings_.nodeSilence);
  members_.review();
  if (!nodesBusy_) scope_.spawn(nodes());
  if (!enrolmentsBusy_) scope_.spawn(enrolments());
  noteLiving();
  sharesSpent_ = {};
  std::vector<ServiceName> names;
  for (const auto& [name, service] : state_.services()) names.push_back(name);
  if (sharesLeftAt_) std::rotate(names.begin(), std::lower_bound(names.begin(), names.end(), *sharesLeftAt_), names.end());
  sharesLeftAt_.reset();
  for (const auto& name : names) {
    if (!state_.services().contains(name)) continue;
    const auto& service = state_.services().at(name);
    auto& duty = duties_[name];
    auto now = clock_.now();
    if (std::exchange(duty.sharesSeen, service.sharesAt) != service.sharesAt) {
      duty.sharesSeenAt = now;
      checkShares(name, service);
    }
    if (duty.seenAt == Instant{} || duty.epoch != service.epoch) {
      if (duty.takenAt == Instant{}) duty.takenAt = now;
      duty.epoch = service.epoch;
      duty.seenAt = now;
      duty.demotedAt.reset();
      duty.finalPlace = {};
      duty.demoteAskedAt = duty.silentSince = duty.probeAfter = duty.promoteAfter = {};
      duty.promotePause = {};
    }
    if (!duty.busy) scope_.spawn(care(name));
  }
}

Task<void> Duties::care(ServiceName name) {
  duties_[name].busy = true;
  try {
    co_await careFor(name);
  } catch (const std::exception& error) {
    journal_.count("duties.failed");
    journal_.line("the duties of service " + name.get() + " failed and are done again: " + error.what());
  }
  duties_[name].busy = false;
}

const AccessTables::Node* Duties::heard(const Address& node) const {
  auto found = access_.nodes().find(node);
  return found == access_.nodes().end() ? nullptr : &found->second;
}

bool Duties::silent(const Address& node) const {
  const auto* known = heard(node);
  return !(known && reporting(*known)) && clock_.now() - takenAt_ > timings_.nodeSilence;
}

// orders that do not wait for each other, so that they share their syncs
Task<void> Duties::orderAll(Orders orders) {
  auto left = std::make_shared<std::size_t>(orders.size());
  for (auto& [matter, body] : orders) scope_.spawn(orderOne(matter, std::move(body), left));
  while (*left > 0) co_await ordered_.wait(clock_);
}

Task<void> Duties::orderOne(ControlMatter matter, std::string body, std::shared_ptr<std::size_t> left) {
  co_await order(matter, std::move(body));
  --*left;
  ordered_.open();
}

}  // namespace tamarindshift

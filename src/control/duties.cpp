#include "control/duties.hpp"

#include <algorithm>

// Who is on duty, and the passes of the member that is.

namespace tamarindshift {

Duties::Duties(Clock& clock, Journal& journal, const Timings& timings, ReplicationEngine& engine, const ControlState& state,
               ReportTables& access, DatabaseControl& databases, ServerId own, std::size_t losses, bool rationing)
    : clock_(clock),
      journal_(journal),
      timings_(timings),
      engine_(engine),
      state_(state),
      access_(access),
      databases_(databases),
      ownId_(std::move(own)),
      memberReplacement_(clock, journal, engine, losses, timings.memberAway),
      rationing_(rationing) {
  scope_.spawn(run());
  scope_.spawn(wakeOnEngineChange());
}

bool Duties::onDuty() const {
  return engine_.state() == EngineState::regPrim && !engine_.conf().members.empty() && *engine_.conf().members.begin() == ownId_;
}

bool Duties::isSoleDutyHolder() const {
  auto proved = engine_.primaryConfirmedAt();
  return onDuty() && proved && clock_.now() - *proved < timings_.group.suspicionTimeout;
}

Task<void> Duties::run() {
  for (;;) {
    co_await sleep(clock_, timings_.dutyPause);
    co_await wake_.wait(clock_, clock_.now() + timings_.duty);
    recordEpochs();
    checkPlanVersion();
    if (onDuty() != wasOnDuty_) {
      wasOnDuty_ = onDuty();
      dutiesTakenAt_ = clock_.now();
      serviceDuties_.clear();
      waitReasons_.clear();
      journal_.line(wasOnDuty_ ? "takes the duties" : "lays the duties down");
    }
    if (wasOnDuty_) startPass();
  }
}

Task<void> Duties::wakeOnEngineChange() {
  for (;;) {
    co_await engine_.changed().wait(clock_);
    wake();
  }
}

void Duties::recordEpochs() {
  std::erase_if(seenEpochs_, [&](const auto& each) {
    return !state_.services().contains(each.first);
  });
  for (const auto& [name, service] : state_.services()) {
    auto& seen = seenEpochs_[name];
    if (seen.at == Instant{} || seen.epoch != service.epoch) seen = SeenEpoch{service.epoch, clock_.now(), std::nullopt};
    if (service.promoted && !seen.promotedAt) seen.promotedAt = clock_.now();
  }
}

void Duties::checkPlanVersion() {
  planUnchanged_ = planVersionCheck_.observe(state_.plan() ? state_.plan()->mark : PlanVersion{});
}

void Duties::startPass() {
  access_.removeNodesSilentSince(clock_.now() - 10 * timings_.nodeSilence);
  memberReplacement_.review();
  if (!updatingNodes_) scope_.spawn(updateNodes());
  if (!removingDatabases_) scope_.spawn(removeLostDatabases());
  recordLiveNodes();
  sharesTimeSpent_ = {};
  std::vector<ServiceName> names;
  for (const auto& [name, service] : state_.services()) names.push_back(name);
  if (sharesResumeAt_) std::rotate(names.begin(), std::lower_bound(names.begin(), names.end(), *sharesResumeAt_), names.end());
  sharesResumeAt_.reset();
  for (const auto& name : names) {
    if (!state_.services().contains(name)) continue;
    const auto& service = state_.services().at(name);
    auto& duty = serviceDuties_[name];
    auto now = clock_.now();
    if (std::exchange(duty.sharesVersionSeen, service.sharesPosition) != service.sharesPosition) {
      duty.sharesVersionSeenAt = now;
      checkShares(name, service);
    }
    if (duty.epochSeenAt == Instant{} || duty.epoch != service.epoch) {
      if (duty.firstSeenAt == Instant{}) duty.firstSeenAt = now;
      duty.epoch = service.epoch;
      duty.epochSeenAt = now;
      duty.demotedAt.reset();
      duty.finalPosition = {};
      duty.demoteRequestedAt = duty.doubtedSince = duty.nextProbeAt = duty.nextPromoteAt = {};
      duty.promoteBackoff = {};
    }
    if (!duty.busy) scope_.spawn(supervise(name));
  }
}

Task<void> Duties::supervise(ServiceName name) {
  serviceDuties_[name].busy = true;
  try {
    co_await superviseOnce(name);
  } catch (const std::exception& error) {
    journal_.count("duties.failed");
    journal_.line("the duties of service " + name.get() + " failed and will be retried: " + error.what());
  }
  serviceDuties_[name].busy = false;
}

const ReportTables::Node* Duties::reportOf(const Address& node) const {
  auto found = access_.nodes().find(node);
  return found == access_.nodes().end() ? nullptr : &found->second;
}

bool Duties::silent(const Address& node) const {
  const auto* known = reportOf(node);
  return !(known && reportIsRecent(*known)) && clock_.now() - dutiesTakenAt_ > timings_.nodeSilence;
}

// The proposals do not wait for each other, so that they share their disk syncs.
Task<void> Duties::proposeAll(Proposals proposals) {
  auto outstanding = std::make_shared<std::size_t>(proposals.size());
  for (auto& [matter, body] : proposals) scope_.spawn(proposeOne(matter, std::move(body), outstanding));
  while (*outstanding > 0) co_await proposalDone_.wait(clock_);
}

Task<void> Duties::proposeOne(ControlCommandType matter, std::string body, std::shared_ptr<std::size_t> outstanding) {
  co_await propose(matter, std::move(body));
  --*outstanding;
  proposalDone_.open();
}

}  // namespace tamarindshift

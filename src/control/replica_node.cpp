#include "control/replica_node.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "control/plan_reader.hpp"
#include "control/plan_result.hpp"
#include "edge/door_replies.hpp"

namespace tamarindshift {

ReplicaNode::ReplicaNode(Clock& clock, PeerLink& link, StableStore& store, DatabaseControl& databases, Journal& journal,
                         ReplicaSettings settings, std::uint64_t incarnation)
    : clock_(clock),
      databases_(databases),
      journal_(journal),
      settings_(std::move(settings)),
      state_(updateStore_),
      desk_(clock, link, incarnation),
      core_(clock, link, store, state_, journal,
            CoreSettings{settings_.address, settings_.seeds, settings_.timings.group, settings_.bounds, settings_.mayBootstrap},
            incarnation) {}

std::optional<std::string> ReplicaNode::start() {
  if (auto fault = core_.start()) return fault;
  duties_ = std::make_unique<Duties>(clock_, journal_, settings_.timings, engine(), state_, reports_, databases_, core_.serverId(),
                                     settings_.toleratedLosses, settings_.rations);
  updateServer_ = std::make_unique<UpdateServer>(clock_, desk_, updateStore_, *this, settings_.timings.newsWait);
  serveDesk();
  scope_.spawn(watchDisk());
  return std::nullopt;
}

Task<void> ReplicaNode::watchDisk() {
  bool refused = false;
  for (;;) {
    auto fault = engine().diskFault();
    if (fault && !refused) {
      journal_.count("store.refusals");
      journal_.line("disk refuses writes; this member leaves the group until writes succeed again: " + *fault);
    }
    if (!fault && refused) journal_.line("disk accepts writes again");
    refused = fault.has_value();
    co_await sleep(clock_, settings_.timings.group.heartbeatInterval);
  }
}

void ReplicaNode::serveDesk() {
  desk_.serve("report", [this](Address from, std::string body) -> Task<std::optional<std::string>> {
    auto report = unpacked<NodeReport>(body);
    if (!report) co_return std::nullopt;
    if (reports_.lacksBase(*report)) desk_.tell(from, "report-whole", {});
    if (reports_.recordReport(std::move(*report), clock_.now())) duties_->wake();
    co_return std::nullopt;
  });
  desk_.serve("heartbeat", [this](Address, std::string body) -> Task<std::optional<std::string>> {
    if (auto heartbeat = unpacked<DatabaseHeartbeat>(body)) recordHeartbeat(*heartbeat, false);
    co_return std::nullopt;
  });
  serveHeartbeats("heartbeat-ask", &ReplicaNode::heartbeat);
  serveHeartbeats("detach", &ReplicaNode::detach);
  desk_.serve("peers", [this](Address, std::string) -> Task<std::optional<std::string>> {
    auto known = group().knownAddresses();
    known.insert(settings_.address);
    co_return packed(known);
  });
}

void ReplicaNode::serveHeartbeats(const std::string& subject, Task<DoorReply> (ReplicaNode::*handler)(DatabaseHeartbeat)) {
  desk_.serve(subject, [this, handler](Address, std::string body) -> Task<std::optional<std::string>> {
    auto heartbeat = unpacked<DatabaseHeartbeat>(body);
    if (!heartbeat) co_return std::nullopt;
    auto reply = co_await (this->*handler)(*heartbeat);
    co_return packed(std::pair(reply.status, reply.body));
  });
}

std::optional<Instant> ReplicaNode::leaseUntil(const Topic&) {
  auto proved = engine().primaryConfirmedAt();
  if (!proved) return std::nullopt;
  auto until = *proved + settings_.timings.lease;
  if (until <= clock_.now()) return std::nullopt;
  return until;
}

std::vector<DatabaseReport> ReplicaNode::databaseReports(const Topic& topic) {
  return reports_.databaseReports(ServiceName{topic}, clock_.now());
}

bool ReplicaNode::isKnown(const DatabaseHeartbeat& heartbeat) const {
  if (state_.hasListedDatabases(heartbeat.service)) return state_.plannedService(heartbeat.service)->databases.contains(heartbeat.database);
  return state_.enrolled(heartbeat.service, heartbeat.database) || !heartbeat.address.get().empty();
}

bool ReplicaNode::recordHeartbeat(const DatabaseHeartbeat& heartbeat, bool relay) {
  if (!isKnown(heartbeat)) {
    journal_.count("heartbeats.unplanned");
    return false;
  }
  const auto* before = reports_.database(heartbeat.service, heartbeat.database);
  bool changed = !before || before->heartbeat.role != heartbeat.role || before->heartbeat.leaving != heartbeat.leaving;
  if (!reports_.recordHeartbeat(heartbeat, clock_.now(), settings_.timings.silence()))
    journal_.count("heartbeats.older");
  else if (changed)
    duties_->wake();
  if (!relay) return true;
  auto bytes = packed(heartbeat);
  for (const auto& peer : group().joinedPeers()) desk_.tell(peer, "heartbeat", bytes);
  return true;
}

void ReplicaNode::updateSettings(ReplicaSettings settings) {
  settings_ = std::move(settings);
  engine().setBounds(settings_.bounds);
}

void ReplicaNode::drain() {
  if (drainingSince_) return;
  drainingSince_ = clock_.now();
  journal_.line("draining: this replica leaves the group and stops");
  scope_.spawn(handOver());
}

// In this order: orders in progress complete, others hold all that was acknowledged here, this member leaves the group if the
// group can do without it, and the others take over leadership and sequencing without waiting for the suspicion time-out.
Task<void> ReplicaNode::handOver() {
  auto deadline = *drainingSince_ + settings_.timings.orderPatience;
  auto pause = settings_.timings.group.heartbeatInterval / 4;
  const auto& own = core_.serverId();
  while (clock_.now() < deadline && (ordersInProgress_ > 0 || !MemberReplacement::othersHoldAll(engine(), own, settings_.toleratedLosses)))
    co_await sleep(clock_, pause);
  if (MemberReplacement::canSpare(engine(), own, settings_.toleratedLosses)) engine().requestLeave(own);
  while (clock_.now() < deadline && MemberReplacement::canSpare(engine(), own, settings_.toleratedLosses)) co_await sleep(clock_, pause);
  core_.retire();
  handedOverAt_ = clock_.now();
}

bool ReplicaNode::stopped() const {
  if (!drainingSince_) return false;
  // The others need some time to receive the message that this member left.
  return handedOverAt_ && clock_.now() - *handedOverAt_ >= 2 * settings_.timings.group.heartbeatInterval;
}

Task<OrderOutcome> ReplicaNode::order(ControlCommandType type, std::string body) {
  ++ordersInProgress_;
  ControlCommand command{type, 0, std::move(body)};
  auto outcome = co_await engine().order(packed(command), clock_.now() + settings_.timings.orderPatience);
  --ordersInProgress_;
  co_return outcome;
}

Task<PlanResult> ReplicaNode::orderPlan(std::string text) {
  PlanReader reader;
  PlanResult result;
  auto plan = reader.read(text);
  if (!plan) {
    journal_.count("operator.plans_broken");
    result.outcome = PlanOutcome::broken;
    result.faults = reader.faults();
    co_return result;
  }
  result.version = plan->mark;
  if (orderingRefusal()) co_return result;
  PlanCommand command{std::move(text)};
  auto outcome = co_await order(ControlCommandType::plan, packed(command));
  if (state_.plan()) result.held = state_.plan()->mark;
  result.position = outcome.position;
  if (outcome.status == OrderStatus::refused) co_return result;
  if (outcome.status == OrderStatus::unknown) {
    journal_.count("operator.plans_unknown");
    result.outcome = PlanOutcome::unknown;
    co_return result;
  }
  result.outcome = PlanOutcome::ordered;
  result.verdict = planVerdictFromText(outcome.reply);
  if (result.verdict == PlanVerdict::held) journal_.count("operator.plans_held");
  if (result.verdict == PlanVerdict::conflict) journal_.count("operator.plans_conflicting");
  co_return result;
}

Task<DoorReply> ReplicaNode::replacePlan(std::string text) {
  auto result = co_await orderPlan(std::move(text));
  co_return planReply(result, settings_.timings.comeBack);
}

std::optional<DoorReply> ReplicaNode::orderingRefusal() const {
  auto comeBack = settings_.timings.comeBack;
  if (auto fault = engine().diskFault()) return refusal(503, "the disk of this member refuses writes", *fault, comeBack);
  if (engine().state() == EngineState::nonPrim || !engine().isMember()) return refusal(503, "no primary component", {}, comeBack);
  if (draining()) return refusal(503, "this node is leaving", {}, comeBack);
  return std::nullopt;
}

// The same call may arrive again after another member relayed it; the newest heartbeat held decides.
bool ReplicaNode::isLeaving(const DatabaseHeartbeat& heartbeat) const {
  const auto* newest = reports_.database(heartbeat.service, heartbeat.database);
  return newest ? newest->heartbeat.leaving : heartbeat.leaving;
}

Task<DoorReply> ReplicaNode::heartbeat(DatabaseHeartbeat heartbeat) {
  auto comeBack = settings_.timings.comeBack;
  const auto* enrolled = state_.enrolled(heartbeat.service, heartbeat.database);
  bool departed = !enrolled && state_.departed(heartbeat.database);
  bool outdated = reports_.isOutdated(heartbeat, clock_.now(), settings_.timings.silence());
  if (!departed && !recordHeartbeat(heartbeat, true)) co_return refusal(404, "no such database in the plan held here");
  bool listed = state_.hasListedDatabases(heartbeat.service);
  bool matchesEnrolment =
      departed || outdated || listed || (enrolled && (heartbeat.address.get().empty() || enrolled->address == heartbeat.address));
  bool mustDrain = !departed && !listed && isLeaving(heartbeat) && !state_.drainMark(heartbeat.service, heartbeat.database);
  if (!matchesEnrolment || mustDrain) {
    if (auto refusal = orderingRefusal()) co_return *refusal;
  } else if (!leaseUntil(fleetTopic)) {
    co_return refusal(503, "not in a proved primary component", {}, comeBack);
  }
  if (!matchesEnrolment)
    if (auto refusal = co_await enrol(heartbeat)) co_return *refusal;
  if (mustDrain) {
    DatabaseCommand command{heartbeat.service, heartbeat.database, heartbeat.boot, heartbeat.number, false};
    auto outcome = co_await order(ControlCommandType::drainDatabase, packed(command));
    if (outcome.status != OrderStatus::green || outcome.reply != "held")
      co_return refusal(503, "not taken in time", "send it again", comeBack);
  }
  co_return DoorReply{200, "{}", std::nullopt};
}

Task<std::optional<DoorReply>> ReplicaNode::enrol(DatabaseHeartbeat heartbeat) {
  EnrolmentCommand command{heartbeat.service,  heartbeat.database, heartbeat.address, heartbeat.zone,
                           heartbeat.capacity, heartbeat.boot,     heartbeat.number,  heartbeat.role};
  auto outcome = co_await order(ControlCommandType::enrolDatabase, packed(command));
  std::optional<DoorReply> refused;
  if (outcome.status != OrderStatus::green)
    refused = refusal(503, "not taken in time", "send it again", settings_.timings.comeBack);
  else if (outcome.reply != "held" && !state_.departed(heartbeat.database))
    refused = refusal(404, outcome.reply);
  co_return refused;
}

Task<DoorReply> ReplicaNode::detach(DatabaseHeartbeat heartbeat) {
  heartbeat.leaving = true;
  bool listed = state_.hasListedDatabases(heartbeat.service);
  bool mayEnrol = !listed && !heartbeat.address.get().empty();
  if (!recordHeartbeat(heartbeat, true) && leaseUntil(fleetTopic)) co_return refusal(404, "no such database");
  auto comeBack = settings_.timings.comeBack;
  if (auto refusal = orderingRefusal()) co_return *refusal;
  DatabaseCommand command{heartbeat.service, heartbeat.database, heartbeat.boot, heartbeat.number, !listed};
  auto outcome = co_await order(ControlCommandType::drainDatabase, packed(command));
  if (outcome.status != OrderStatus::green) co_return refusal(503, "not taken in time", "send it again", comeBack);
  if (outcome.reply != "held" && !mayEnrol) co_return refusal(404, outcome.reply);
  co_return DoorReply{200, nlohmann::json{{"position", outcome.position}}.dump(), std::nullopt};
}

Task<DoorReply> ReplicaNode::detach(DatabaseName database) {
  if (auto service = state_.serviceOf(database)) {
    DatabaseHeartbeat heartbeat;
    heartbeat.service = *service;
    heartbeat.database = database;
    heartbeat.leaving = true;
    recordHeartbeat(heartbeat, true);
  }
  if (auto refusal = orderingRefusal()) co_return *refusal;
  DatabaseCommand command{{}, std::move(database), 0, 0, true};
  auto outcome = co_await order(ControlCommandType::drainDatabase, packed(command));
  if (outcome.status != OrderStatus::green) co_return refusal(503, "not taken in time", "send it again", settings_.timings.comeBack);
  co_return DoorReply{200, "{}", std::nullopt};
}

Task<DoorReply> ReplicaNode::removeMember(Address address) {
  for (const auto& server : engine().members())
    if (server.address == address) {
      if (engine().state() != EngineState::regPrim) co_return refusal(503, "no primary component", {}, settings_.timings.comeBack);
      engine().requestLeave(server);
      auto deadline = clock_.now() + settings_.timings.orderPatience;
      while (engine().hasMember(server) && clock_.now() < deadline) co_await engine().changed().wait(clock_, deadline);
      if (engine().hasMember(server)) co_return refusal(504, "outcome unknown", {}, settings_.timings.comeBack);
      co_return DoorReply{200, "{}", std::nullopt};
    }
  co_return refusal(404, "no such member");
}

}  // namespace tamarindshift

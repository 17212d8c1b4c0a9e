#include "control/replica_node.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "control/plan_reader.hpp"
#include "edge/door_replies.hpp"

namespace tamarindshift {

ReplicaNode::ReplicaNode(Clock& clock, PartnerLink& link, StableStore& store, WebLink& databases, Journal& journal,
                         ReplicaSettings settings, std::uint64_t entropy)
    : clock_(clock), link_(link), store_(store), databases_(databases), journal_(journal), settings_(std::move(settings)), entropy_(entropy), state_(board_), desk_(clock, link) {}

std::optional<std::string> ReplicaNode::start() {
  auto records = store_.load();
  if (!records) return store_.lastReason();
  ServerId server{settings_.address, Incarnation{entropy_}};
  for (const auto& bytes : *records) {
    auto record = unpacked<EngineRecord>(bytes);
    if (!record) return "the store holds an unreadable record";
    if (record->kind != EngineRecordKind::identity) continue;
    auto identity = unpacked<IdentityRecord>(record->body);
    if (!identity) return "the store holds an unreadable identity";
    if (identity->serverId.address != settings_.address)
      return "the data folder belongs to " + identity->serverId.address.get();
    server = identity->serverId;
  }
  Member own{server, Boot{entropy_ ^ 0x9e3779b97f4a7c15ULL}};
  group_ = std::make_unique<SequencedGroup>(clock_, link_, journal_, own, settings_.seeds, settings_.timings.group);
  engine_ = std::make_unique<ReplicationEngine>(clock_, *group_, store_, state_, journal_, settings_.bounds);
  if (!engine_->recover(*records)) return "the store holds an unreadable record";
  duties_ = std::make_unique<Duties>(clock_, journal_, settings_.timings, *engine_, state_, access_, databases_, settings_.platform, server);
  news_ = std::make_unique<NewsDesk>(clock_, desk_, board_, *this, settings_.timings.newsWait);
  serveDesk();
  if (engine_->identity()) {
    group_->setFoundation(engine_->identity()->foundation);
    if (!engine_->member()) scope_.spawn(enter());
  } else {
    engine_->writeIdentity(IdentityRecord{server, {}, false}, [this] { scope_.spawn(enter()); });
  }
  return std::nullopt;
}

void ReplicaNode::serveDesk() {
  link_.on(Matter::joinAsk, [this](const Address& from, const std::string& bytes) { onJoinAsk(from, bytes); });
  link_.on(Matter::joinSnapshot, [this](const Address& from, const std::string& bytes) {
    auto snapshot = unpacked<EngineSnapshot>(bytes);
    if (snapshot && engine_->identity() && engine_->adopt(*snapshot)) journal_.line("joined with a snapshot from " + from.get());
  });
  link_.on(Matter::leftNotice, [this](const Address&, const std::string& bytes) {
    auto server = unpacked<ServerId>(bytes);
    if (server && engine_->identity() && *server == engine_->identity()->serverId) dismissed_ = true;
  });
  desk_.serve("report", [this](Address, std::string body) -> Task<std::optional<std::string>> {
    if (auto report = unpacked<NodeReport>(body)) access_.noteReport(*report, clock_.now());
    co_return std::nullopt;
  });
  desk_.serve("beat", [this](Address, std::string body) -> Task<std::optional<std::string>> {
    if (auto beat = unpacked<DatabaseBeat>(body)) noteBeat(*beat, false);
    co_return std::nullopt;
  });
  desk_.serve("detach", [this](Address, std::string body) -> Task<std::optional<std::string>> {
    auto beat = unpacked<DatabaseBeat>(body);
    if (!beat) co_return std::nullopt;
    auto reply = co_await detach(*beat);
    co_return packed(std::pair(reply.status, reply.body));
  });
  desk_.serve("partners", [this](Address, std::string) -> Task<std::optional<std::string>> {
    auto known = group_->known();
    known.insert(settings_.address);
    co_return packed(known);
  });
}

void ReplicaNode::onJoinAsk(const Address& from, const std::string& bytes) {
  auto joiner = unpacked<ServerId>(bytes);
  if (!joiner || !engine_->member()) return;
  if (engine_->hasLeft(*joiner))
    link_.pass(from, Envelope{Matter::leftNotice, packed(*joiner)});
  else if (engine_->knows(*joiner))
    link_.pass(from, Envelope{Matter::joinSnapshot, packed(engine_->snapshotNow())});
  else
    engine_->requestJoin(*joiner);
}

Task<void> ReplicaNode::enter() {
  const auto own = engine_->identity()->serverId;
  std::size_t shot = 0;
  while (!engine_->member()) {
    auto identity = *engine_->identity();
    auto agreed = group_->agreedFoundation();
    auto joined = group_->joinedPartners();
    if (agreed && agreed->contains(own)) {
      identity.foundation = *agreed;
      identity.founded = true;
      engine_->writeIdentity(identity, [] {});
      group_->setFoundation(*agreed);
      engine_->found();
      journal_.line("founded a group of " + std::to_string(agreed->size()));
    } else if (!joined.empty()) {
      link_.pass(joined[shot++ % joined.size()], Envelope{Matter::joinAsk, packed(own)});
      co_await sleep(clock_, 2 * settings_.timings.group.beat);
    } else if (auto seeds = group_->unjoinedSeeds(); seeds && seeds->contains(own) && *seeds != identity.foundation) {
      identity.foundation = *seeds;
      Gate synced;
      engine_->writeIdentity(identity, [&synced] { synced.open(); });
      co_await synced.wait(clock_);
      group_->setFoundation(identity.foundation);
    }
    co_await sleep(clock_, settings_.timings.group.beat);
  }
}

std::optional<Instant> ReplicaNode::leaseUntil(const Topic&) {
  auto proved = engine_->provedAt();
  if (!proved) return std::nullopt;
  auto until = *proved + settings_.timings.lease;
  if (until <= clock_.now()) return std::nullopt;
  return until;
}

std::vector<DatabaseSign> ReplicaNode::signs(const Topic& topic) { return access_.signs(ServiceName{topic}, clock_.now()); }

void ReplicaNode::noteBeat(const DatabaseBeat& beat, bool relay) {
  access_.noteBeat(beat, clock_.now());
  if (!relay) return;
  auto bytes = packed(beat);
  for (const auto& partner : group_->joinedPartners()) desk_.tell(partner, "beat", bytes);
}

Task<DoorReply> ReplicaNode::replacePlan(std::string text) {
  PlanReader reader;
  auto plan = reader.read(text);
  if (!plan) {
    journal_.count("operator.plans_broken");
    nlohmann::json faults = nlohmann::json::array();
    for (const auto& fault : reader.faults()) faults.push_back({{"path", fault.path}, {"reason", fault.reason}});
    co_return DoorReply{400, nlohmann::json{{"reason", "broken plan"}, {"faults", faults}}.dump(), std::nullopt};
  }
  auto comeBack = settings_.timings.comeBack;
  if (engine_->state() == EngineState::nonPrim || !engine_->member())
    co_return refusal(503, "no primary component", "nothing was taken", comeBack);
  auto heldMark = [this] { return state_.plan() ? state_.plan()->mark.get() : 0; };
  auto held = [&](int status, const std::string& reason) {
    return DoorReply{status, nlohmann::json{{"reason", reason}, {"mark", heldMark()}}.dump(), std::nullopt};
  };
  ControlUpdate update{ControlMatter::plan, 0, packed(PlanUpdate{text})};
  auto outcome = co_await engine_->order(packed(update), clock_.now() + settings_.timings.orderPatience);
  if (outcome.fate == OrderFate::refused) co_return refusal(503, "not taken", "nothing was taken", comeBack);
  if (outcome.fate == OrderFate::unknown) {
    journal_.count("operator.plans_unknown");
    co_return refusal(504, "outcome unknown", "ask for the plan held, or send the same plan again", comeBack);
  }
  if (outcome.reply == "held") {
    journal_.count("operator.plans_held");
    co_return DoorReply{200, nlohmann::json{{"mark", plan->mark.get()}, {"position", outcome.position}}.dump(), std::nullopt};
  }
  co_return held(409, outcome.reply == "older" ? "an older mark, or the same mark with other content" : outcome.reply);
}

Task<DoorReply> ReplicaNode::detach(DatabaseBeat beat) {
  beat.leaving = true;
  noteBeat(beat, true);
  auto comeBack = settings_.timings.comeBack;
  if (engine_->state() == EngineState::nonPrim || !engine_->member()) co_return refusal(503, "no primary component", {}, comeBack);
  ControlUpdate update{ControlMatter::drainDatabase, 0, packed(DatabaseUpdate{beat.service, beat.database, beat.boot, beat.number})};
  auto outcome = co_await engine_->order(packed(update), clock_.now() + settings_.timings.orderPatience);
  if (outcome.fate != OrderFate::green) co_return refusal(503, "not taken in time", "send it again", comeBack);
  if (outcome.reply != "held") co_return refusal(404, outcome.reply);
  co_return DoorReply{200, nlohmann::json{{"position", outcome.position}}.dump(), std::nullopt};
}

Task<DoorReply> ReplicaNode::removeMember(Address address) {
  for (const auto& server : engine_->members())
    if (server.address == address) {
      if (engine_->state() != EngineState::regPrim) co_return refusal(503, "no primary component", {}, settings_.timings.comeBack);
      engine_->requestLeave(server);
      auto deadline = clock_.now() + settings_.timings.orderPatience;
      while (engine_->knows(server) && clock_.now() < deadline) co_await engine_->changed().wait(clock_, deadline);
      if (engine_->knows(server)) co_return refusal(504, "outcome unknown", {}, settings_.timings.comeBack);
      co_return DoorReply{200, "{}", std::nullopt};
    }
  co_return refusal(404, "no such member");
}

}  // namespace tamarindshift

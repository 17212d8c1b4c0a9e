#include "engine/replication_engine.hpp"

#include <algorithm>

namespace tamarindshift {

ReplicationEngine::ReplicationEngine(Clock& clock, Group& group, StableStore& store, Application& application, Journal& journal,
                                     EngineBounds bounds)
    : clock_(clock), group_(group), store_(store), application_(application), journal_(journal), bounds_(bounds) {}

std::set<ServerId> ReplicationEngine::members() const {
  std::set<ServerId> members;
  for (const auto& [server, line] : greenLines_) members.insert(server);
  return members;
}

std::uint64_t ReplicationEngine::whiteLine() const {
  std::uint64_t line = greenLine();
  for (const auto& [server, green] : greenLines_) line = std::min(line, green);
  return line;
}

std::optional<std::string> ReplicationEngine::diskFault() const {
  if (!store_.refusing()) return std::nullopt;
  return store_.lastReason();
}

std::optional<Instant> ReplicationEngine::provedAt() const {
  if (state_ != EngineState::regPrim) return std::nullopt;
  return group_.provedAt();
}

void ReplicationEngine::enterState(EngineState state) {
  if (state_ == state) return;
  state_ = state;
  if (!replaying_) journal_.line(std::string("engine ") + text(state) + " green " + std::to_string(greenLine()));
  recordMeta();
  changed_.open();
}

void ReplicationEngine::record(EngineRecordKind kind, std::string body) {
  if (!replaying_) store_.append(packed(EngineRecord{kind, std::move(body)}));
}

MetaRecord ReplicationEngine::meta() const {
  return MetaRecord{state_, conf_, actionIndex_, attemptIndex_, primComponent_, vulnerable_, yellow_, greenLines_, cpcs_};
}

void ReplicationEngine::recordMeta() {
  record(EngineRecordKind::meta, packed(meta()));
}

void ReplicationEngine::syncThen(std::function<void()> then) {
  store_.sync([alive = std::weak_ptr<int>(alive_), then = std::move(then)] {
    if (alive.lock()) then();
  });
}

void ReplicationEngine::send(EngineMatter matter, std::string body, bool durable) {
  group_.multicast(conf_.confId, packed(EngineMessage{matter, std::move(body)}), durable);
}

void ReplicationEngine::syncThenSend(EngineMatter matter, std::string body, bool durable) {
  syncThen([this, view = conf_.confId, bytes = packed(EngineMessage{matter, std::move(body)}), durable] {
    group_.multicast(view, bytes, durable);
  });
}

Task<OrderOutcome> ReplicationEngine::order(std::string update, Instant deadline) {
  auto waiting = std::make_shared<Waiting>();
  Action action;
  action.update = std::move(update);
  request(std::move(action), waiting);
  if (!waiting->outcome) co_await waiting->gate.wait(clock_, deadline);
  if (waiting->outcome) co_return *waiting->outcome;
  auto buffered = std::find_if(buffered_.begin(), buffered_.end(), [&](const Buffered& each) {
    return each.waiting == waiting;
  });
  if (buffered != buffered_.end()) {
    buffered_.erase(buffered);
    co_return OrderOutcome{OrderFate::refused, 0, {}};
  }
  std::erase_if(waiting_, [&](const auto& each) {
    return each.second == waiting;
  });
  co_return OrderOutcome{OrderFate::unknown, 0, {}};
}

void ReplicationEngine::requestJoin(const ServerId& joiner) {
  for (const auto& [index, action] : ongoingQueue_)
    if (action.type == ActionType::persistentJoin && action.subject == joiner) return;
  for (const auto& [id, action] : red_)
    if (action.type == ActionType::persistentJoin && action.subject == joiner) return;
  if (state_ != EngineState::regPrim && state_ != EngineState::nonPrim) return;
  Action action;
  action.type = ActionType::persistentJoin;
  action.subject = joiner;
  request(std::move(action), std::make_shared<Waiting>());
}

void ReplicationEngine::requestLeave(const ServerId& leaver) {
  if (state_ != EngineState::regPrim && state_ != EngineState::nonPrim) return;
  Action action;
  action.type = ActionType::persistentLeave;
  action.subject = leaver;
  request(std::move(action), std::make_shared<Waiting>());
}

void ReplicationEngine::request(Action action, std::shared_ptr<Waiting> waiting) {
  bool refused = !started_ || store_.refusing() || (state_ == EngineState::nonPrim && red_.size() + ongoingQueue_.size() >= bounds_.red) ||
                 buffered_.size() >= bounds_.buffered;
  if (refused) {
    journal_.count("engine.requests_refused");
    waiting->outcome = OrderOutcome{OrderFate::refused, 0, {}};
    return;
  }
  if (state_ == EngineState::regPrim || state_ == EngineState::nonPrim) {
    createAction(std::move(action), std::move(waiting));
    syncThen([this, view = conf_.confId, index = actionIndex_] {
      if (view == conf_.confId) generate(ActionId{serverId_, index});
    });
  } else {
    buffered_.push_back(Buffered{std::move(action), std::move(waiting)});
  }
}

void ReplicationEngine::createAction(Action action, std::shared_ptr<Waiting> waiting) {
  action.actionId = ActionId{serverId_, ++actionIndex_};
  action.greenLine = greenLine();
  waiting_[actionIndex_] = std::move(waiting);
  record(EngineRecordKind::ongoing, packed(action));
  ongoingQueue_.emplace(actionIndex_, std::move(action));
}

void ReplicationEngine::generate(const ActionId& actionId) {
  auto found = ongoingQueue_.find(actionId.index);
  if (found == ongoingQueue_.end()) return;
  if (state_ != EngineState::regPrim && state_ != EngineState::nonPrim) return;
  send(EngineMatter::action, packed(found->second), true);
}

void ReplicationEngine::handleBuffRequests() {
  for (auto& buffered : buffered_) createAction(std::move(buffered.action), std::move(buffered.waiting));
  buffered_.clear();
  if (ongoingQueue_.empty()) return;
  syncThen([this, view = conf_.confId] {
    if (view != conf_.confId) return;
    std::vector<ActionId> own;
    own.reserve(ongoingQueue_.size());
    for (const auto& [index, action] : ongoingQueue_) own.push_back(action.actionId);
    for (const auto& actionId : own) generate(actionId);
  });
}

void ReplicationEngine::received(const std::vector<Delivery>& deliveries, std::function<void()> stable) {
  bool durable = false;
  for (const auto& delivery : deliveries) {
    undelivered_.push_back(delivery);
    if (!delivery.durable) continue;
    durable = true;
    record(EngineRecordKind::received, packed(delivery));
  }
  if (!durable && durableSyncs_ == 0) {
    stable();
    return;
  }
  ++durableSyncs_;
  syncThen([this, stable = std::move(stable)] {
    --durableSyncs_;
    stable();
  });
}

void ReplicationEngine::deliver(const Delivery& delivery) {
  while (!undelivered_.empty() && undelivered_.front().sequence <= delivery.sequence) undelivered_.pop_front();
  auto message = unpacked<EngineMessage>(delivery.payload);
  if (!message) {
    journal_.count("engine.unreadable");
    return;
  }
  onMessage(*message);
  rewriteWhenLong();
}

void ReplicationEngine::onMessage(const EngineMessage& message) {
  switch (message.matter) {
    case EngineMatter::action:
      if (auto action = unpacked<Action>(message.body)) onAction(*action);
      return;
    case EngineMatter::state:
      if (auto state = unpacked<StateMessage>(message.body)) onState(*state);
      return;
    case EngineMatter::cpc:
      if (auto cpc = unpacked<CpcMessage>(message.body)) onCpc(*cpc);
      return;
    default:
      onRetransmitted(message);
  }
}

void ReplicationEngine::regularConfiguration(const Configuration& configuration) {
  undelivered_.clear();
  conf_ = configuration;
  invalidateVulnerable();
  shiftToExchangeStates();
}

void ReplicationEngine::invalidateVulnerable() {
  if (state_ == EngineState::transPrim) {
    vulnerable_.valid = false;
    yellow_.valid = true;
  } else if (state_ == EngineState::no) {
    vulnerable_.valid = false;
  } else if (state_ == EngineState::un) {
    if (!yellow_.valid) yellow_ = Yellow{true, {}};
    for (const auto& [id, action] : red_)
      if (std::find(yellow_.set.begin(), yellow_.set.end(), id) == yellow_.set.end()) yellow_.set.push_back(id);
  }
}

void ReplicationEngine::transitionalConfiguration(const std::set<ServerId>&) {
  switch (state_) {
    case EngineState::regPrim:
      return enterState(EngineState::transPrim);
    case EngineState::exchangeStates:
    case EngineState::exchangeActions:
      return enterState(EngineState::nonPrim);
    case EngineState::construct:
      return enterState(EngineState::no);
    default:
      return;
  }
}

void ReplicationEngine::onAction(const Action& action) {
  switch (state_) {
    case EngineState::regPrim:
      markGreen(action);
      if (auto line = greenLines_.find(action.actionId.serverId); line != greenLines_.end()) {
        line->second = std::max(line->second, action.greenLine);
        discardWhite();
      }
      return;
    case EngineState::transPrim:
      return markYellow(action);
    case EngineState::un:
      install();
      markYellow(action);
      return enterState(EngineState::transPrim);
    case EngineState::nonPrim:
    case EngineState::exchangeStates:
    case EngineState::exchangeActions:
      return markRed(action);
    case EngineState::construct:
    case EngineState::no:
      journal_.count("engine.action_not_possible");
      return markRed(action);
  }
}

void ReplicationEngine::shiftToExchangeStates() {
  stateMessages_.clear();
  cpcs_.clear();
  turns_.clear();
  turn_ = 0;
  lostAtExchange_ = lostNow();
  enterState(EngineState::exchangeStates);
  StateMessage state{serverId_,     conf_.confId,   redCut_,     greenLine(), greenBase_,
                     attemptIndex_, primComponent_, vulnerable_, yellow_,     lostAtExchange_};
  syncThenSend(EngineMatter::state, packed(state), false);
}

void ReplicationEngine::onState(const StateMessage& state) {
  if (state_ != EngineState::exchangeStates || state.confId != conf_.confId) return;
  stateMessages_[state.serverId] = state;
  if (stateMessages_.size() < conf_.set.size()) return;
  planTurns();
  shiftToExchangeActions();
}

void ReplicationEngine::planTurns() {
  std::uint64_t lowest = stateMessages_.begin()->second.greenLine;
  std::uint64_t highest = lowest;
  std::map<ServerId, std::pair<std::uint64_t, ServerId>> mostRed;
  for (const auto& [server, state] : stateMessages_) {
    lowest = std::min(lowest, state.greenLine);
    highest = std::max(highest, state.greenLine);
    for (const auto& [creator, cut] : state.redCut)
      if (!mostRed.contains(creator) || cut > mostRed[creator].first) mostRed[creator] = {cut, server};
  }
  greenTurn_ = lowest < highest;
  if (greenTurn_)
    for (const auto& [server, state] : stateMessages_)
      if (state.greenLine == highest) {
        turns_.push_back(server);
        break;
      }
  std::set<ServerId> redSenders;
  for (const auto& [creator, most] : mostRed)
    for (const auto& [server, state] : stateMessages_) {
      auto cut = state.redCut.find(creator);
      if (cut == state.redCut.end() || cut->second < most.first) redSenders.insert(most.second);
    }
  turns_.insert(turns_.end(), redSenders.begin(), redSenders.end());
}

void ReplicationEngine::shiftToExchangeActions() {
  enterState(EngineState::exchangeActions);
  if (endOfRetransmission())
    endOfRetrans();
  else
    retrans();
}

void ReplicationEngine::retrans() {
  if (turns_[turn_] != serverId_) return;
  if (greenTurn_ && turn_ == 0)
    retransGreen();
  else
    retransRed();
  send(EngineMatter::endOfTurn, packed(serverId_), false);
}

void ReplicationEngine::retransGreen() {
  std::uint64_t lowest = greenLine();
  for (const auto& [server, state] : stateMessages_) lowest = std::min(lowest, state.greenLine);
  if (lowest < greenBase_) {
    send(EngineMatter::snapshot, packed(snapshotNow()), false);
    return;
  }
  for (auto position = lowest + 1; position <= greenLine(); ++position)
    send(EngineMatter::green, packed(GreenMessage{position, green_[position - greenBase_ - 1]}), false);
}

void ReplicationEngine::retransRed() {
  for (const auto& [id, action] : red_) {
    bool missing = false;
    for (const auto& [server, state] : stateMessages_) {
      auto cut = state.redCut.find(id.serverId);
      missing = missing || cut == state.redCut.end() || cut->second < id.index;
    }
    if (missing) send(EngineMatter::red, packed(action), false);
  }
}

void ReplicationEngine::onRetransmitted(const EngineMessage& message) {
  if (message.matter == EngineMatter::green) {
    auto green = unpacked<GreenMessage>(message.body);
    if (green && green->position == greenLine() + 1) markGreen(green->action);
  } else if (message.matter == EngineMatter::red) {
    if (auto action = unpacked<Action>(message.body)) markRed(*action);
  } else if (message.matter == EngineMatter::snapshot) {
    auto snapshot = unpacked<EngineSnapshot>(message.body);
    if (snapshot && snapshot->greenLine > greenLine()) {
      journal_.count("engine.snapshots_taken");
      applySnapshot(*snapshot);
      store_.rewrite(wholeState());
    }
  } else if (message.matter == EngineMatter::endOfTurn && state_ == EngineState::exchangeActions) {
    ++turn_;
    if (endOfRetransmission())
      endOfRetrans();
    else
      retrans();
  }
}

void ReplicationEngine::endOfRetrans() {
  for (const auto& [server, state] : stateMessages_)
    if (auto line = greenLines_.find(server); line != greenLines_.end()) line->second = std::max(line->second, state.greenLine);
  computeKnowledge();
  if (isQuorum()) {
    ++attemptIndex_;
    vulnerable_ = Vulnerable{true, primComponent_.primIndex, attemptIndex_, conf_.set, {}};
    enterState(EngineState::construct);
    syncThenSend(EngineMatter::cpc, packed(CpcMessage{serverId_, conf_.confId}), true);
  } else {
    enterState(EngineState::nonPrim);
    handleBuffRequests();
  }
}

void ReplicationEngine::computeKnowledge() {
  auto newer = [](const PrimComponent& left, const PrimComponent& right) {
    return std::tie(left.primIndex, left.attemptIndex) < std::tie(right.primIndex, right.attemptIndex);
  };
  for (const auto& [server, state] : stateMessages_)
    if (newer(primComponent_, state.primComponent)) primComponent_ = state.primComponent;

  attemptIndex_ = 0;
  std::optional<std::vector<ActionId>> common;
  for (const auto& [server, state] : stateMessages_) {
    if (state.primComponent != primComponent_) continue;
    attemptIndex_ = std::max(attemptIndex_, state.attemptIndex);
    if (!state.yellow.valid) continue;
    if (!common) {
      common = state.yellow.set;
      continue;
    }
    std::erase_if(*common, [&](const ActionId& id) {
      return std::find(state.yellow.set.begin(), state.yellow.set.end(), id) == state.yellow.set.end();
    });
  }
  yellow_ = common ? Yellow{true, *common} : Yellow{};

  auto before = stateMessages_;
  for (auto& [server, state] : stateMessages_) {
    if (!state.vulnerable.valid) continue;
    bool outdated = primComponent_.primIndex > state.vulnerable.primIndex && !primComponent_.servers.contains(server);
    for (const auto& other : state.vulnerable.set)
      if (auto found = before.find(other); found != before.end() && !found->second.vulnerable.sameAttempt(state.vulnerable))
        outdated = true;
    if (outdated) state.vulnerable.valid = false;
  }
  std::set<ServerId> bits;
  for (const auto& [server, state] : stateMessages_) {
    if (!state.vulnerable.valid) continue;
    bits.insert(server);
    bits.insert(state.vulnerable.bits.begin(), state.vulnerable.bits.end());
  }
  for (const auto& [server, state] : stateMessages_) bits.insert(state.lost.begin(), state.lost.end());
  for (auto& [server, state] : stateMessages_) {
    if (!state.vulnerable.valid) continue;
    state.vulnerable.bits = bits;
    if (std::includes(bits.begin(), bits.end(), state.vulnerable.set.begin(), state.vulnerable.set.end())) state.vulnerable.valid = false;
  }
  vulnerable_ = stateMessages_.at(serverId_).vulnerable;
  recordMeta();
}

bool ReplicationEngine::isQuorum() const {
  std::set<ServerId> lost;
  for (const auto& [server, state] : stateMessages_) {
    if (state.vulnerable.valid) return false;
    lost.insert(state.lost.begin(), state.lost.end());
  }
  std::size_t groupPresent = 0;
  for (const auto& [server, line] : greenLines_) groupPresent += conf_.set.contains(server);
  if (2 * groupPresent <= greenLines_.size()) return false;
  std::set<ServerId> voters;
  std::set_difference(primComponent_.servers.begin(), primComponent_.servers.end(), lost.begin(), lost.end(),
                      std::inserter(voters, voters.end()));
  if (voters.empty()) return false;
  std::size_t present = 0;
  for (const auto& server : voters) present += conf_.set.contains(server);
  if (2 * present == voters.size()) return conf_.set.contains(*voters.begin());
  return 2 * present > voters.size();
}

void ReplicationEngine::onCpc(const CpcMessage& cpc) {
  if (cpc.confId != conf_.confId) return;
  if (state_ != EngineState::construct && state_ != EngineState::no) return;
  cpcs_.insert(cpc.serverId);
  recordMeta();
  if (cpcs_ != conf_.set) return;
  if (state_ == EngineState::no) return enterState(EngineState::un);
  for (const auto& server : conf_.set)
    if (auto line = greenLines_.find(server); line != greenLines_.end()) line->second = greenLine();
  install();
  enterState(EngineState::regPrim);
  journal_.count("engine.primaries_installed");
  syncThen([] {});
  handleBuffRequests();
}

void ReplicationEngine::install() {
  if (yellow_.valid)
    for (const auto& id : yellow_.set)
      if (auto found = red_.find(id); found != red_.end()) markGreen(Action{found->second});
  yellow_ = Yellow{};
  ++primComponent_.primIndex;
  primComponent_.attemptIndex = attemptIndex_;
  primComponent_.servers = vulnerable_.set;
  attemptIndex_ = 0;
  while (!red_.empty()) markGreen(Action{red_.begin()->second});
  recordMeta();
}

void ReplicationEngine::markRed(const Action& action) {
  auto& cut = redCut_[action.actionId.serverId];
  if (cut + 1 != action.actionId.index) return;
  ++cut;
  // a disk that lost its tail knows fewer own actions than the others hold: none of their numbers is used again
  if (action.actionId.serverId == serverId_) actionIndex_ = std::max(actionIndex_, cut);
  red_.emplace(action.actionId, action);
  record(EngineRecordKind::red, packed(action));
  if (action.actionId.serverId == serverId_) ongoingQueue_.erase(action.actionId.index);
}

void ReplicationEngine::markYellow(const Action& action) {
  markRed(action);
  if (action.actionId.index <= greenCut_[action.actionId.serverId]) return;
  if (std::find(yellow_.set.begin(), yellow_.set.end(), action.actionId) != yellow_.set.end()) return;
  yellow_.set.push_back(action.actionId);
  recordMeta();
}

void ReplicationEngine::markGreen(const Action& action) {
  markRed(action);
  auto red = red_.find(action.actionId);
  if (red == red_.end()) return;
  red_.erase(red);
  green_.push_back(action);
  greenCut_[action.actionId.serverId] = action.actionId.index;
  if (auto own = greenLines_.find(serverId_); own != greenLines_.end()) own->second = greenLine();
  record(EngineRecordKind::green, packed(action.actionId));
  auto position = greenLine();
  std::string reply;
  if (action.type == ActionType::action)
    reply = application_.applyGreen(action, position);
  else
    applyMembership(action);
  journal_.count("engine.greens");
  resolve(action, position, std::move(reply));
  discardWhite();
  changed_.open();
}

void ReplicationEngine::applyMembership(const Action& action) {
  auto leave = [this](const ServerId& server) {
    greenLines_.erase(server);
    left_.insert(server);
    if (server == serverId_) dismissed_ = true;
    if (!replaying_) journal_.line("left " + text(server));
  };
  if (action.type == ActionType::persistentLeave) {
    if (greenLines_.contains(action.subject)) leave(action.subject);
  } else if (!greenLines_.contains(action.subject) && !left_.contains(action.subject)) {
    bool outdated = false;
    for (const auto& server : members()) {
      if (server.address != action.subject.address) continue;
      outdated = server.incarnation > action.subject.incarnation;
      if (!outdated) leave(server);
    }
    if (outdated) {
      left_.insert(action.subject);
    } else {
      greenLines_[action.subject] = greenLine();
      if (!replaying_) journal_.line("joined " + text(action.subject));
    }
  }
  recordMeta();
}

void ReplicationEngine::resolve(const Action& action, std::uint64_t position, std::string reply) {
  if (action.actionId.serverId != serverId_) return;
  auto found = waiting_.find(action.actionId.index);
  if (found == waiting_.end()) return;
  found->second->outcome = OrderOutcome{OrderFate::green, position, std::move(reply)};
  found->second->gate.open();
  waiting_.erase(found);
}

void ReplicationEngine::discardWhite() {
  auto white = whiteLine();
  while (!green_.empty() && (greenBase_ < white || green_.size() > bounds_.greenKept)) {
    green_.pop_front();
    ++greenBase_;
  }
}

EngineSnapshot ReplicationEngine::snapshotNow() const {
  return EngineSnapshot{greenLine(), greenCut_, greenLines_, left_, application_.snapshot()};
}

void ReplicationEngine::applySnapshot(const EngineSnapshot& snapshot) {
  if (!application_.restore(snapshot.application)) {
    journal_.line("snapshot unreadable");
    return;
  }
  green_.clear();
  greenBase_ = snapshot.greenLine;
  greenCut_ = snapshot.greenCut;
  greenLines_ = snapshot.greenLines;
  left_ = snapshot.left;
  if (auto own = greenLines_.find(serverId_); own != greenLines_.end()) own->second = greenLine();
  for (const auto& [server, cut] : greenCut_) redCut_[server] = std::max(redCut_[server], cut);
  if (auto own = redCut_.find(serverId_); own != redCut_.end()) actionIndex_ = std::max(actionIndex_, own->second);
  std::erase_if(red_, [this](const auto& each) {
    auto cut = greenCut_.find(each.first.serverId);
    return cut != greenCut_.end() && each.first.index <= cut->second;
  });
  std::erase_if(ongoingQueue_, [this](const auto& each) {
    return each.first <= greenCut_[serverId_];
  });
  if (left_.contains(serverId_)) dismissed_ = true;
  changed_.open();
}

std::set<ServerId> ReplicationEngine::lostNow() const {
  std::set<ServerId> lost;
  auto newcomers = group_.unjoined();
  for (const auto& [server, line] : greenLines_)
    for (const auto& newcomer : newcomers)
      if (newcomer.address == server.address && newcomer != server) lost.insert(server);
  return lost;
}

bool ReplicationEngine::wantsExchange() const {
  return state_ == EngineState::nonPrim && started_ && lostNow() != lostAtExchange_;
}

Coverage ReplicationEngine::coverage(const std::set<ServerId>& servers) const {
  std::size_t held = 0;
  for (const auto& [server, line] : greenLines_) held += servers.contains(server);
  if (held == greenLines_.size()) return Coverage::all;
  return 2 * held > greenLines_.size() ? Coverage::majority : Coverage::minority;
}

void ReplicationEngine::writeIdentity(const IdentityRecord& identity, std::function<void()> synced) {
  identity_ = identity;
  serverId_ = identity.serverId;
  record(EngineRecordKind::identity, packed(identity));
  syncThen(std::move(synced));
}

void ReplicationEngine::found() {
  startFromFoundation();
  started_ = true;
  recordMeta();
  syncThen([this] {
    group_.join(*this);
  });
}

void ReplicationEngine::startFromFoundation() {
  for (const auto& server : identity_->foundation) greenLines_[server] = 0;
  primComponent_ = PrimComponent{0, 0, identity_->foundation};
}

bool ReplicationEngine::adopt(const EngineSnapshot& snapshot) {
  if (started_ || !snapshot.greenLines.contains(serverId_)) return false;
  applySnapshot(snapshot);
  identity_->founded = true;
  identity_->foundation.clear();
  started_ = true;
  store_.rewrite(wholeState());
  syncThen([this] {
    group_.join(*this);
  });
  return true;
}

std::vector<std::string> ReplicationEngine::wholeState() const {
  std::vector<std::string> records;
  auto add = [&records](EngineRecordKind kind, std::string body) {
    records.push_back(packed(EngineRecord{kind, std::move(body)}));
  };
  if (identity_) add(EngineRecordKind::identity, packed(*identity_));
  add(EngineRecordKind::snapshot, packed(snapshotNow()));
  add(EngineRecordKind::meta, packed(meta()));
  for (const auto& [index, action] : ongoingQueue_) add(EngineRecordKind::ongoing, packed(action));
  for (const auto& [id, action] : red_) add(EngineRecordKind::red, packed(action));
  for (const auto& delivery : undelivered_)
    if (delivery.durable) add(EngineRecordKind::received, packed(delivery));
  return records;
}

void ReplicationEngine::rewriteWhenLong() {
  if (store_.length() < std::max(bounds_.storeLength, 2 * rewrittenLength_)) return;
  journal_.count("store.rewrites");
  store_.rewrite(wholeState());
  rewrittenLength_ = store_.length();
}

void ReplicationEngine::loadRecord(const EngineRecord& record) {
  switch (record.kind) {
    case EngineRecordKind::identity:
      identity_ = unpacked<IdentityRecord>(record.body);
      if (!identity_) return;
      serverId_ = identity_->serverId;
      if (identity_->founded && greenLines_.empty()) startFromFoundation();
      return;
    case EngineRecordKind::snapshot:
      if (auto snapshot = unpacked<EngineSnapshot>(record.body)) applySnapshot(*snapshot);
      return;
    case EngineRecordKind::meta:
      if (auto meta = unpacked<MetaRecord>(record.body)) {
        state_ = meta->state;
        conf_ = meta->conf;
        actionIndex_ = meta->actionIndex;
        attemptIndex_ = meta->attemptIndex;
        primComponent_ = meta->primComponent;
        vulnerable_ = meta->vulnerable;
        yellow_ = meta->yellow;
        greenLines_ = meta->greenLines;
        cpcs_ = meta->cpcs;
      }
      return;
    case EngineRecordKind::ongoing:
      if (auto action = unpacked<Action>(record.body)) {
        actionIndex_ = std::max(actionIndex_, action->actionId.index);
        ongoingQueue_.emplace(action->actionId.index, *action);
      }
      return;
    case EngineRecordKind::red:
      if (auto action = unpacked<Action>(record.body)) {
        auto& cut = redCut_[action->actionId.serverId];
        cut = std::max(cut, action->actionId.index - 1);
        markRed(*action);
      }
      return;
    case EngineRecordKind::green:
      if (auto id = unpacked<ActionId>(record.body))
        if (auto found = red_.find(*id); found != red_.end()) markGreen(Action{found->second});
      return;
    case EngineRecordKind::received:
      if (auto delivery = unpacked<Delivery>(record.body)) undelivered_.push_back(*delivery);
      return;
  }
}

bool ReplicationEngine::recover(const std::vector<std::string>& records) {
  replaying_ = true;
  for (const auto& bytes : records) {
    auto record = unpacked<EngineRecord>(bytes);
    if (!record) return false;
    loadRecord(*record);
  }
  std::erase_if(undelivered_, [this](const Delivery& delivery) {
    return delivery.view != conf_.confId;
  });
  bool founded = identity_ && identity_->founded;
  replaying_ = false;
  if (!founded) return true;
  replayAsTransitional();
  started_ = true;
  for (const auto& [index, action] : std::map<std::uint64_t, Action>{ongoingQueue_})
    if (redCut_[serverId_] < index) markRed(action);
  recordMeta();
  journal_.line("recovered green " + std::to_string(greenLine()) + " red " + std::to_string(red_.size()));
  syncThen([this] {
    group_.join(*this);
  });
  return true;
}

void ReplicationEngine::replayAsTransitional() {
  transitionalConfiguration({});
  for (const auto& delivery : std::deque<Delivery>{undelivered_}) {
    auto message = unpacked<EngineMessage>(delivery.payload);
    if (!message) continue;
    if (message->matter == EngineMatter::action) {
      auto action = unpacked<Action>(message->body);
      bool old = action && action->actionId.index <= greenCut_[action->actionId.serverId];
      if (action && !old) onAction(*action);
    } else if (message->matter == EngineMatter::cpc) {
      onMessage(*message);
    }
  }
  undelivered_.clear();
  invalidateVulnerable();
  state_ = EngineState::nonPrim;
}

}  // namespace tamarindshift

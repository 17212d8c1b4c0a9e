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
  if (!store_.refusesWrites()) return std::nullopt;
  return store_.lastReason();
}

std::optional<Instant> ReplicationEngine::primaryConfirmedAt() const {
  if (state_ != EngineState::regPrim) return std::nullopt;
  return group_.viewConfirmedAt();
}

void ReplicationEngine::enterState(EngineState state) {
  if (state_ == state) return;
  state_ = state;
  if (!replaying_) journal_.line(std::string("engine entered ") + text(state) + ", green line " + std::to_string(greenLine()));
  recordMeta();
  changed_.open();
}

void ReplicationEngine::appendRecord(EngineRecordKind kind, std::string body) {
  if (!replaying_) store_.append(packed(EngineRecord{kind, std::move(body)}));
}

MetaRecord ReplicationEngine::meta() const {
  return MetaRecord{state_, conf_, actionIndex_, attemptIndex_, primComponent_, vulnerable_, yellow_, greenLines_, cpcs_};
}

void ReplicationEngine::recordMeta() {
  appendRecord(EngineRecordKind::meta, packed(meta()));
}

void ReplicationEngine::syncThen(std::function<void()> then) {
  store_.sync([alive = std::weak_ptr<int>(alive_), then = std::move(then)] {
    if (alive.lock()) then();
  });
}

void ReplicationEngine::send(EngineMessageType type, std::string body, bool durable) {
  group_.multicast(conf_.confId, packed(EngineMessage{type, std::move(body)}), durable);
}

void ReplicationEngine::syncThenSend(EngineMessageType type, std::string body, bool durable) {
  syncThen([this, view = conf_.confId, bytes = packed(EngineMessage{type, std::move(body)}), durable] {
    group_.multicast(view, bytes, durable);
  });
}

Task<OrderOutcome> ReplicationEngine::order(std::string update, Instant deadline) {
  auto pending = std::make_shared<PendingRequest>();
  Action action;
  action.update = std::move(update);
  handleRequest(std::move(action), pending);
  if (!pending->outcome) co_await pending->gate.wait(clock_, deadline);
  if (pending->outcome) co_return *pending->outcome;
  auto buffered = std::find_if(bufferedRequests_.begin(), bufferedRequests_.end(), [&](const BufferedRequest& each) {
    return each.pending == pending;
  });
  if (buffered != bufferedRequests_.end()) {
    bufferedRequests_.erase(buffered);
    co_return OrderOutcome{OrderStatus::refused, 0, {}};
  }
  std::erase_if(pendingRequests_, [&](const auto& each) {
    return each.second == pending;
  });
  co_return OrderOutcome{OrderStatus::unknown, 0, {}};
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
  handleRequest(std::move(action), std::make_shared<PendingRequest>());
}

void ReplicationEngine::requestLeave(const ServerId& leaver) {
  if (state_ != EngineState::regPrim && state_ != EngineState::nonPrim) return;
  Action action;
  action.type = ActionType::persistentLeave;
  action.subject = leaver;
  handleRequest(std::move(action), std::make_shared<PendingRequest>());
}

void ReplicationEngine::handleRequest(Action action, std::shared_ptr<PendingRequest> pending) {
  auto pendingBytes = this->pendingBytes();
  bool tooMuch = pendingBytes > 0 && pendingBytes + action.update.size() > bounds_.maxPendingBytes;
  bool refused = !started_ || store_.refusesWrites() || tooMuch ||
                 (state_ == EngineState::nonPrim && red_.size() + ongoingQueue_.size() >= bounds_.maxRedActions) ||
                 bufferedRequests_.size() >= bounds_.maxBufferedRequests;
  if (refused) {
    journal_.count("engine.requests_refused");
    pending->outcome = OrderOutcome{OrderStatus::refused, 0, {}};
    return;
  }
  if (state_ == EngineState::regPrim || state_ == EngineState::nonPrim) {
    createAction(std::move(action), std::move(pending));
    syncThen([this, view = conf_.confId, index = actionIndex_] {
      if (view == conf_.confId) generate(ActionId{serverId_, index});
    });
  } else {
    bufferedRequests_.push_back(BufferedRequest{std::move(action), std::move(pending)});
  }
}

void ReplicationEngine::createAction(Action action, std::shared_ptr<PendingRequest> pending) {
  action.actionId = ActionId{serverId_, ++actionIndex_};
  action.greenLine = greenLine();
  pendingRequests_[actionIndex_] = std::move(pending);
  appendRecord(EngineRecordKind::ongoing, packed(action));
  ongoingQueue_.emplace(actionIndex_, std::move(action));
}

void ReplicationEngine::generate(const ActionId& actionId) {
  auto found = ongoingQueue_.find(actionId.index);
  if (found == ongoingQueue_.end()) return;
  if (state_ != EngineState::regPrim && state_ != EngineState::nonPrim) return;
  send(EngineMessageType::action, packed(found->second), true);
}

void ReplicationEngine::handleBufferedRequests() {
  for (auto& buffered : bufferedRequests_) createAction(std::move(buffered.action), std::move(buffered.pending));
  bufferedRequests_.clear();
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
    appendRecord(EngineRecordKind::received, packed(delivery));
  }
  if (!durable && pendingDurableSyncs_ == 0) {
    stable();
    return;
  }
  ++pendingDurableSyncs_;
  syncThen([this, stable = std::move(stable)] {
    --pendingDurableSyncs_;
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
  rewriteStoreIfLarge();
}

void ReplicationEngine::onMessage(const EngineMessage& message) {
  switch (message.type) {
    case EngineMessageType::action:
      if (auto action = unpacked<Action>(message.body)) onAction(*action);
      return;
    case EngineMessageType::state:
      if (auto state = unpacked<StateMessage>(message.body)) onState(*state);
      return;
    case EngineMessageType::cpc:
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
      if (std::find(yellow_.actionIds.begin(), yellow_.actionIds.end(), id) == yellow_.actionIds.end()) yellow_.actionIds.push_back(id);
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

void ReplicationEngine::markRed(const Action& action) {
  auto& cut = redCut_[action.actionId.serverId];
  if (cut + 1 != action.actionId.index) return;
  ++cut;
  // If the disk lost its last records, other members hold own actions that this one no longer knows: their indices must not be
  // used again.
  if (action.actionId.serverId == serverId_) actionIndex_ = std::max(actionIndex_, cut);
  red_.emplace(action.actionId, action);
  appendRecord(EngineRecordKind::red, packed(action));
  if (action.actionId.serverId == serverId_) ongoingQueue_.erase(action.actionId.index);
}

void ReplicationEngine::markYellow(const Action& action) {
  markRed(action);
  if (action.actionId.index <= greenCut_[action.actionId.serverId]) return;
  if (std::find(yellow_.actionIds.begin(), yellow_.actionIds.end(), action.actionId) != yellow_.actionIds.end()) return;
  yellow_.actionIds.push_back(action.actionId);
  recordMeta();
}

void ReplicationEngine::markGreen(const Action& action) {
  markRed(action);
  auto red = red_.find(action.actionId);
  if (red == red_.end()) return;
  red_.erase(red);
  green_.push_back(action);
  greenBytes_ += action.update.size();
  greenCut_[action.actionId.serverId] = action.actionId.index;
  if (auto own = greenLines_.find(serverId_); own != greenLines_.end()) own->second = greenLine();
  appendRecord(EngineRecordKind::green, packed(action.actionId));
  auto position = greenLine();
  std::string reply;
  if (action.type == ActionType::action)
    reply = application_.applyGreen(action, position);
  else
    applyMembership(action);
  journal_.count("engine.greens");
  completeRequest(action, position, std::move(reply));
  discardWhite();
  changed_.open();
}

void ReplicationEngine::applyMembership(const Action& action) {
  auto leave = [this](const ServerId& server) {
    greenLines_.erase(server);
    formerMembers_.insert(server);
    if (server == serverId_) removedFromGroup_ = true;
    if (!replaying_) journal_.line("member " + text(server) + " left the group");
  };
  if (action.type == ActionType::persistentLeave) {
    if (greenLines_.contains(action.subject)) leave(action.subject);
  } else if (!greenLines_.contains(action.subject) && !formerMembers_.contains(action.subject)) {
    bool outdated = false;
    for (const auto& server : members()) {
      if (server.address != action.subject.address) continue;
      outdated = server.incarnation > action.subject.incarnation;
      if (!outdated) leave(server);
    }
    if (outdated) {
      formerMembers_.insert(action.subject);
    } else {
      greenLines_[action.subject] = greenLine();
      if (!replaying_) journal_.line("member " + text(action.subject) + " joined the group");
    }
  }
  recordMeta();
}

void ReplicationEngine::completeRequest(const Action& action, std::uint64_t position, std::string reply) {
  if (action.actionId.serverId != serverId_) return;
  auto found = pendingRequests_.find(action.actionId.index);
  if (found == pendingRequests_.end()) return;
  found->second->outcome = OrderOutcome{OrderStatus::green, position, std::move(reply)};
  found->second->gate.open();
  pendingRequests_.erase(found);
}

void ReplicationEngine::discardWhite() {
  auto white = whiteLine();
  while (!green_.empty() && (greenBase_ < white || green_.size() > bounds_.maxGreenKept || greenBytes_ > bounds_.maxGreenKeptBytes)) {
    greenBytes_ -= green_.front().update.size();
    green_.pop_front();
    ++greenBase_;
  }
}

std::size_t ReplicationEngine::pendingBytes() const {
  std::size_t bytes = 0;
  for (const auto& [index, action] : ongoingQueue_) bytes += action.update.size();
  for (const auto& [id, action] : red_) bytes += action.update.size();
  for (const auto& buffered : bufferedRequests_) bytes += buffered.action.update.size();
  return bytes;
}

std::set<ServerId> ReplicationEngine::lostServers() const {
  std::set<ServerId> lost;
  auto newcomers = group_.unjoinedServers();
  for (const auto& [server, line] : greenLines_)
    for (const auto& newcomer : newcomers)
      if (newcomer.address == server.address && newcomer != server) lost.insert(server);
  return lost;
}

bool ReplicationEngine::wantsExchange() const {
  return state_ == EngineState::nonPrim && started_ && lostServers() != lostServersAtExchange_;
}

Coverage ReplicationEngine::coverage(const std::set<ServerId>& servers) const {
  std::size_t held = 0;
  for (const auto& [server, line] : greenLines_) held += servers.contains(server);
  if (held == greenLines_.size()) return Coverage::all;
  return 2 * held > greenLines_.size() ? Coverage::majority : Coverage::minority;
}

}  // namespace tamarindshift

#include "engine/replication_engine.hpp"

#include <algorithm>

// How the members of a new configuration exchange states and missing actions, and how they form a primary component.

namespace tamarindshift {

void ReplicationEngine::shiftToExchangeStates() {
  stateMessages_.clear();
  cpcs_.clear();
  turns_.clear();
  turn_ = 0;
  lostServersAtExchange_ = lostServers();
  enterState(EngineState::exchangeStates);
  StateMessage state{serverId_,     conf_.confId,   redCut_,     greenLine(), greenBase_,
                     attemptIndex_, primComponent_, vulnerable_, yellow_,     lostServersAtExchange_};
  syncThenSend(EngineMessageType::state, packed(state), false);
}

void ReplicationEngine::onState(const StateMessage& state) {
  if (state_ != EngineState::exchangeStates || state.confId != conf_.confId) return;
  stateMessages_[state.serverId] = state;
  if (stateMessages_.size() < conf_.members.size()) return;
  planRetransmission();
  shiftToExchangeActions();
}

void ReplicationEngine::planRetransmission() {
  std::uint64_t lowest = stateMessages_.begin()->second.greenLine;
  std::uint64_t highest = lowest;
  std::map<ServerId, std::pair<std::uint64_t, ServerId>> redSources;
  for (const auto& [server, state] : stateMessages_) {
    lowest = std::min(lowest, state.greenLine);
    highest = std::max(highest, state.greenLine);
    for (const auto& [creator, cut] : state.redCut)
      if (!redSources.contains(creator) || cut > redSources[creator].first) redSources[creator] = {cut, server};
  }
  greenTurn_ = lowest < highest;
  if (greenTurn_)
    for (const auto& [server, state] : stateMessages_)
      if (state.greenLine == highest) {
        turns_.push_back(server);
        break;
      }
  std::set<ServerId> redSenders;
  for (const auto& [creator, source] : redSources)
    for (const auto& [server, state] : stateMessages_) {
      auto cut = state.redCut.find(creator);
      if (cut == state.redCut.end() || cut->second < source.first) redSenders.insert(source.second);
    }
  turns_.insert(turns_.end(), redSenders.begin(), redSenders.end());
}

void ReplicationEngine::shiftToExchangeActions() {
  enterState(EngineState::exchangeActions);
  if (allTurnsDone())
    finishRetransmission();
  else
    retransmit();
}

void ReplicationEngine::retransmit() {
  if (turns_[turn_] != serverId_) return;
  if (greenTurn_ && turn_ == 0)
    retransmitGreen();
  else
    retransmitRed();
  send(EngineMessageType::endOfTurn, packed(serverId_), false);
}

std::size_t ReplicationEngine::greenBytesAfter(std::uint64_t position) const {
  std::size_t bytes = 0;
  for (auto each = green_.begin() + static_cast<std::ptrdiff_t>(position - greenBase_); each != green_.end(); ++each)
    bytes += each->update.size();
  return bytes;
}

void ReplicationEngine::retransmitGreen() {
  std::uint64_t lowest = greenLine();
  for (const auto& [server, state] : stateMessages_) lowest = std::min(lowest, state.greenLine);
  bool discarded = lowest < greenBase_;
  auto missingBytes = discarded ? 0 : greenBytesAfter(lowest);
  if (discarded || missingBytes > bounds_.snapshotThresholdBytes) {
    auto snapshot = packed(takeSnapshot());
    if (discarded || snapshot.size() < missingBytes) return send(EngineMessageType::snapshot, std::move(snapshot), false);
  }
  for (auto position = lowest + 1; position <= greenLine(); ++position)
    send(EngineMessageType::green, packed(GreenMessage{position, green_[position - greenBase_ - 1]}), false);
}

void ReplicationEngine::retransmitRed() {
  for (const auto& [id, action] : red_) {
    bool missing = false;
    for (const auto& [server, state] : stateMessages_) {
      auto cut = state.redCut.find(id.serverId);
      missing = missing || cut == state.redCut.end() || cut->second < id.index;
    }
    if (missing) send(EngineMessageType::red, packed(action), false);
  }
}

void ReplicationEngine::onRetransmitted(const EngineMessage& message) {
  if (message.type == EngineMessageType::green) {
    auto green = unpacked<GreenMessage>(message.body);
    if (green && green->position == greenLine() + 1) markGreen(green->action);
  } else if (message.type == EngineMessageType::red) {
    if (auto action = unpacked<Action>(message.body)) markRed(*action);
  } else if (message.type == EngineMessageType::snapshot) {
    auto snapshot = unpacked<EngineSnapshot>(message.body);
    if (snapshot && snapshot->greenLine > greenLine()) {
      journal_.count("engine.snapshots_taken");
      applySnapshot(*snapshot);
      store_.rewrite(fullState());
    }
  } else if (message.type == EngineMessageType::endOfTurn && state_ == EngineState::exchangeActions) {
    ++turn_;
    if (allTurnsDone())
      finishRetransmission();
    else
      retransmit();
  }
}

void ReplicationEngine::finishRetransmission() {
  for (const auto& [server, state] : stateMessages_)
    if (auto line = greenLines_.find(server); line != greenLines_.end()) line->second = std::max(line->second, state.greenLine);
  computeKnowledge();
  if (isQuorum()) {
    ++attemptIndex_;
    vulnerable_ = Vulnerable{true, primComponent_.primIndex, attemptIndex_, conf_.members, {}};
    enterState(EngineState::construct);
    syncThenSend(EngineMessageType::cpc, packed(CpcMessage{serverId_, conf_.confId}), true);
  } else {
    enterState(EngineState::nonPrim);
    handleBufferedRequests();
  }
}

void ReplicationEngine::computeKnowledge() {
  auto older = [](const PrimComponent& left, const PrimComponent& right) {
    return std::tie(left.primIndex, left.attemptIndex) < std::tie(right.primIndex, right.attemptIndex);
  };
  for (const auto& [server, state] : stateMessages_)
    if (older(primComponent_, state.primComponent)) primComponent_ = state.primComponent;

  attemptIndex_ = 0;
  std::optional<std::vector<ActionId>> common;
  for (const auto& [server, state] : stateMessages_) {
    if (state.primComponent != primComponent_) continue;
    attemptIndex_ = std::max(attemptIndex_, state.attemptIndex);
    if (!state.yellow.valid) continue;
    if (!common) {
      common = state.yellow.actionIds;
      continue;
    }
    std::erase_if(*common, [&](const ActionId& id) {
      return std::find(state.yellow.actionIds.begin(), state.yellow.actionIds.end(), id) == state.yellow.actionIds.end();
    });
  }
  yellow_ = common ? Yellow{true, *common} : Yellow{};

  auto before = stateMessages_;
  for (auto& [server, state] : stateMessages_) {
    if (!state.vulnerable.valid) continue;
    bool outdated = primComponent_.primIndex > state.vulnerable.primIndex && !primComponent_.servers.contains(server);
    for (const auto& other : state.vulnerable.members)
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
  for (const auto& [server, state] : stateMessages_) bits.insert(state.lostServers.begin(), state.lostServers.end());
  for (auto& [server, state] : stateMessages_) {
    if (!state.vulnerable.valid) continue;
    state.vulnerable.bits = bits;
    if (std::includes(bits.begin(), bits.end(), state.vulnerable.members.begin(), state.vulnerable.members.end()))
      state.vulnerable.valid = false;
  }
  vulnerable_ = stateMessages_.at(serverId_).vulnerable;
  recordMeta();
}

bool ReplicationEngine::isQuorum() const {
  std::set<ServerId> lost;
  for (const auto& [server, state] : stateMessages_) {
    if (state.vulnerable.valid) return false;
    lost.insert(state.lostServers.begin(), state.lostServers.end());
  }
  std::size_t groupPresent = 0;
  for (const auto& [server, line] : greenLines_) groupPresent += conf_.members.contains(server);
  if (2 * groupPresent <= greenLines_.size()) return false;
  std::set<ServerId> voters;
  std::set_difference(primComponent_.servers.begin(), primComponent_.servers.end(), lost.begin(), lost.end(),
                      std::inserter(voters, voters.end()));
  if (voters.empty()) return false;
  std::size_t present = 0;
  for (const auto& server : voters) present += conf_.members.contains(server);
  if (2 * present == voters.size()) return conf_.members.contains(*voters.begin());
  return 2 * present > voters.size();
}

void ReplicationEngine::onCpc(const CpcMessage& cpc) {
  if (cpc.confId != conf_.confId) return;
  if (state_ != EngineState::construct && state_ != EngineState::no) return;
  cpcs_.insert(cpc.serverId);
  recordMeta();
  if (cpcs_ != conf_.members) return;
  if (state_ == EngineState::no) return enterState(EngineState::un);
  for (const auto& server : conf_.members)
    if (auto line = greenLines_.find(server); line != greenLines_.end()) line->second = greenLine();
  install();
  enterState(EngineState::regPrim);
  journal_.count("engine.primaries_installed");
  syncThen([] {});
  handleBufferedRequests();
}

void ReplicationEngine::install() {
  if (yellow_.valid)
    for (const auto& id : yellow_.actionIds)
      if (auto found = red_.find(id); found != red_.end()) markGreen(Action{found->second});
  yellow_ = Yellow{};
  ++primComponent_.primIndex;
  primComponent_.attemptIndex = attemptIndex_;
  primComponent_.servers = vulnerable_.members;
  attemptIndex_ = 0;
  while (!red_.empty()) markGreen(Action{red_.begin()->second});
  recordMeta();
}

}  // namespace tamarindshift

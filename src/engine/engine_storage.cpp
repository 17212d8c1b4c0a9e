#include "engine/replication_engine.hpp"

#include <algorithm>

// What the engine writes to its store, and how it starts from the store or from the snapshot of another member.

namespace tamarindshift {

EngineSnapshot ReplicationEngine::takeSnapshot() const {
  return EngineSnapshot{greenLine(), greenCut_, greenLines_, formerMembers_, application_.snapshot()};
}

void ReplicationEngine::applySnapshot(const EngineSnapshot& snapshot) {
  if (!application_.restore(snapshot.application)) {
    journal_.line("snapshot with green line " + std::to_string(snapshot.greenLine) + " ignored: the application cannot read it");
    return;
  }
  green_.clear();
  greenBytes_ = 0;
  greenBase_ = snapshot.greenLine;
  greenCut_ = snapshot.greenCut;
  greenLines_ = snapshot.greenLines;
  formerMembers_ = snapshot.formerMembers;
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
  if (formerMembers_.contains(serverId_)) removedFromGroup_ = true;
  changed_.open();
}

void ReplicationEngine::writeIdentity(const IdentityRecord& identity, std::function<void()> onSynced) {
  identity_ = identity;
  serverId_ = identity.serverId;
  appendRecord(EngineRecordKind::identity, packed(identity));
  syncThen(std::move(onSynced));
}

void ReplicationEngine::foundGroup() {
  startFromFoundingMembers();
  started_ = true;
  recordMeta();
  syncThen([this] {
    group_.join(*this);
  });
}

void ReplicationEngine::startFromFoundingMembers() {
  for (const auto& server : identity_->foundingMembers) greenLines_[server] = 0;
  primComponent_ = PrimComponent{0, 0, identity_->foundingMembers};
}

bool ReplicationEngine::joinFromSnapshot(const EngineSnapshot& snapshot) {
  if (started_ || !snapshot.greenLines.contains(serverId_)) return false;
  applySnapshot(snapshot);
  identity_->founded = true;
  identity_->foundingMembers.clear();
  started_ = true;
  store_.rewrite(fullState());
  syncThen([this] {
    group_.join(*this);
  });
  return true;
}

std::vector<std::string> ReplicationEngine::fullState() const {
  std::vector<std::string> records;
  auto add = [&records](EngineRecordKind kind, std::string body) {
    records.push_back(packed(EngineRecord{kind, std::move(body)}));
  };
  if (identity_) add(EngineRecordKind::identity, packed(*identity_));
  add(EngineRecordKind::snapshot, packed(takeSnapshot()));
  add(EngineRecordKind::meta, packed(meta()));
  for (const auto& [index, action] : ongoingQueue_) add(EngineRecordKind::ongoing, packed(action));
  for (const auto& [id, action] : red_) add(EngineRecordKind::red, packed(action));
  for (const auto& delivery : undelivered_)
    if (delivery.durable) add(EngineRecordKind::received, packed(delivery));
  return records;
}

void ReplicationEngine::rewriteStoreIfLarge() {
  if (store_.sizeBytes() < std::max(bounds_.rewriteThresholdBytes, 2 * rewrittenBytes_)) return;
  journal_.count("store.rewrites");
  store_.rewrite(fullState());
  rewrittenBytes_ = store_.sizeBytes();
}

void ReplicationEngine::replayRecord(const EngineRecord& record) {
  switch (record.kind) {
    case EngineRecordKind::identity:
      identity_ = unpacked<IdentityRecord>(record.body);
      if (!identity_) return;
      serverId_ = identity_->serverId;
      if (identity_->founded && greenLines_.empty()) startFromFoundingMembers();
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
    replayRecord(*record);
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
  journal_.line("recovered from the store: green line " + std::to_string(greenLine()) + ", " + std::to_string(red_.size()) +
                " red actions");
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
    if (message->type == EngineMessageType::action) {
      auto action = unpacked<Action>(message->body);
      bool old = action && action->actionId.index <= greenCut_[action->actionId.serverId];
      if (action && !old) onAction(*action);
    } else if (message->type == EngineMessageType::cpc) {
      onMessage(*message);
    }
  }
  undelivered_.clear();
  invalidateVulnerable();
  state_ = EngineState::nonPrim;
}

}  // namespace tamarindshift

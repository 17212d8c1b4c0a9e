#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "base/gate.hpp"
#include "base/journal.hpp"
#include "base/task.hpp"
#include "engine/application.hpp"
#include "engine/engine_records.hpp"
#include "engine/order_outcome.hpp"
#include "group/group.hpp"
#include "store/stable_store.hpp"

namespace tamarindshift {

/// How much an engine keeps. What is bounded by number is bounded by bytes too, for an action may be a whole configuration.
struct EngineBounds {
  std::size_t maxRedActions = 64;
  std::size_t maxBufferedRequests = 256;
  std::size_t maxGreenKept = 2000;
  /// Bytes of green actions kept for members that lag; beyond it they get a snapshot.
  std::size_t maxGreenKeptBytes = 4u << 20;
  /// Bytes of actions that wait for their order; a request that goes over it is refused, unless nothing else waits.
  std::size_t maxPendingBytes = 4u << 20;
  /// Bytes of missing green actions that are sent one by one even where a snapshot is smaller.
  std::size_t snapshotThresholdBytes = 64u << 10;
  std::size_t rewriteThresholdBytes = 4u << 20;
};

class ReplicationEngine : public GroupListener {
 public:
  ReplicationEngine(Clock& clock, Group& group, StableStore& store, Application& application, Journal& journal, EngineBounds bounds);

  bool recover(const std::vector<std::string>& records);
  void writeIdentity(const IdentityRecord& identity, std::function<void()> synced);
  const std::optional<IdentityRecord>& identity() const { return identity_; }
  bool isMember() const { return started_; }
  void found();
  bool adopt(const EngineSnapshot& snapshot);
  EngineSnapshot snapshotNow() const;

  Task<OrderOutcome> order(std::string update, Instant deadline);
  void requestJoin(const ServerId& joiner);
  void requestLeave(const ServerId& leaver);
  void setBounds(EngineBounds bounds) { bounds_ = bounds; }
  bool hasMember(const ServerId& server) const { return greenLines_.contains(server); }
  std::set<ServerId> members() const;

  EngineState state() const { return state_; }
  std::uint64_t greenLine() const { return greenBase_ + green_.size(); }
  std::uint64_t whiteLine() const;
  /// Bytes of the green actions that are kept for members that lag.
  std::size_t greenKeptBytes() const { return greenBytes_; }
  std::size_t redCount() const { return red_.size(); }
  std::size_t yellowCount() const { return yellow_.actionIds.size(); }
  std::size_t ongoingCount() const { return ongoingQueue_.size(); }
  const std::map<ServerId, std::uint64_t>& greenLines() const { return greenLines_; }
  const std::map<ServerId, std::uint64_t>& redCut() const { return redCut_; }
  const PrimComponent& primComponent() const { return primComponent_; }
  const Vulnerable& vulnerable() const { return vulnerable_; }
  const Configuration& conf() const { return conf_; }
  std::optional<Instant> primaryConfirmedAt() const;
  bool removedFromGroup() const { return removedFromGroup_; }
  Gate& changed() { return changed_; }

  void regularConfiguration(const Configuration& configuration) override;
  void transitionalConfiguration(const std::set<ServerId>& members) override;
  void deliver(const Delivery& delivery) override;
  void received(const std::vector<Delivery>& deliveries, std::function<void()> stable) override;
  bool hasLeft(const ServerId& server) const override { return left_.contains(server); }
  bool wantsExchange() const override;
  bool suspended() const override { return store_.refusesWrites(); }
  /// Why the disk refuses writes; nothing is ordered or acknowledged here while it does.
  std::optional<std::string> diskFault() const;
  Coverage coverage(const std::set<ServerId>& servers) const override;

 private:
  struct Waiting {
    std::optional<OrderOutcome> outcome;
    Gate gate;
  };
  struct Buffered {
    Action action;
    std::shared_ptr<Waiting> waiting;
  };

  void enterState(EngineState state);
  void record(EngineRecordKind kind, std::string body);
  void recordMeta();
  void syncThen(std::function<void()> then);
  void syncThenSend(EngineMessageType type, std::string body, bool durable);
  void send(EngineMessageType type, std::string body, bool durable);
  void createAction(Action action, std::shared_ptr<Waiting> waiting);
  void request(Action action, std::shared_ptr<Waiting> waiting);
  void generate(const ActionId& actionId);
  void handleBuffRequests();

  void onAction(const Action& action);
  void onState(const StateMessage& state);
  void onCpc(const CpcMessage& cpc);
  void shiftToExchangeStates();
  void shiftToExchangeActions();
  void planTurns();
  bool endOfRetransmission() const { return turn_ >= turns_.size(); }
  void retrans();
  void retransGreen();
  void retransRed();
  void onRetransmitted(const EngineMessage& message);
  void onMessage(const EngineMessage& message);
  void invalidateVulnerable();
  std::set<ServerId> lostNow() const;
  void endOfRetrans();
  void computeKnowledge();
  bool isQuorum() const;
  void install();
  void markRed(const Action& action);
  void markYellow(const Action& action);
  void markGreen(const Action& action);
  void applyMembership(const Action& action);
  void applySnapshot(const EngineSnapshot& snapshot);
  void replayAsTransitional();
  void discardWhite();
  /// Bytes of actions that this member created or holds and that are not green yet.
  std::size_t waitingBytes() const;
  std::size_t greenBytesAfter(std::uint64_t position) const;
  void startFromFoundation();
  void loadRecord(const EngineRecord& record);
  void rewriteWhenLong();
  std::vector<std::string> wholeState() const;
  MetaRecord meta() const;
  void resolve(const Action& action, std::uint64_t position, std::string reply);

  Clock& clock_;
  Group& group_;
  StableStore& store_;
  Application& application_;
  Journal& journal_;
  EngineBounds bounds_;

  std::optional<IdentityRecord> identity_;
  bool started_ = false;
  bool removedFromGroup_ = false;
  bool replaying_ = false;
  ServerId serverId_;
  EngineState state_ = EngineState::nonPrim;
  Configuration conf_;
  std::uint64_t actionIndex_ = 0;
  std::uint64_t attemptIndex_ = 0;
  PrimComponent primComponent_;
  Vulnerable vulnerable_;
  Yellow yellow_;
  std::map<ServerId, std::uint64_t> redCut_;
  std::map<ServerId, std::uint64_t> greenCut_;
  std::map<ServerId, std::uint64_t> greenLines_;
  std::set<ServerId> left_;
  std::map<std::uint64_t, Action> ongoingQueue_;
  std::uint64_t greenBase_ = 0;
  std::deque<Action> green_;
  std::size_t greenBytes_ = 0;
  std::map<ActionId, Action> red_;
  std::map<ServerId, StateMessage> stateMessages_;
  std::set<ServerId> cpcs_;
  std::set<ServerId> lostAtExchange_;
  std::vector<ServerId> turns_;
  bool greenTurn_ = false;
  std::size_t turn_ = 0;
  std::deque<Buffered> buffered_;
  std::map<std::uint64_t, std::shared_ptr<Waiting>> waiting_;
  std::deque<Delivery> undelivered_;
  std::size_t durableSyncs_ = 0;
  std::size_t rewrittenLength_ = 0;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  Gate changed_;
};

}  // namespace tamarindshift

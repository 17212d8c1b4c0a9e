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

/// How much an engine keeps. What is bounded by number is bounded by bytes too, because an action may be a whole configuration.
struct EngineBounds {
  /// Own and red actions that may wait outside of a primary component; further requests are refused.
  std::size_t maxRedActions = 64;
  /// Requests that may wait for the end of an exchange or of a view change; further ones are refused.
  std::size_t maxBufferedRequests = 256;
  /// Green actions kept for members that lag; beyond it they get a snapshot.
  std::size_t maxGreenKept = 2000;
  /// The same in bytes.
  std::size_t maxGreenKeptBytes = 4u << 20;
  /// Bytes of actions that are not green yet; a request that exceeds it is refused, unless nothing else is pending.
  std::size_t maxPendingBytes = 4u << 20;
  /// Missing green actions of up to this many bytes are sent one by one even where a snapshot is smaller.
  std::size_t snapshotThresholdBytes = 64u << 10;
  /// The store is rewritten once it is this large and at least twice as large as after the last time.
  std::size_t rewriteThresholdBytes = 4u << 20;
};

/// The replication algorithm of Amir and Tutu ("From Total Order to Database Replication"): the group layer puts actions in
/// order, and they become green, for good, only in a primary component; the primary components form one sequence.
///
/// Colours of an action at a member: red, its place in the order is not known; yellow, see `Yellow`; green, its place is known
/// and it is applied; white, it is green at all members and can be discarded.
///
/// Beyond the paper: primary components also need a majority of the group's persistent members, members whose data is lost no
/// longer count as voters, lagging members may get a snapshot, and what is kept is bounded.
class ReplicationEngine : public GroupListener {
 public:
  ReplicationEngine(Clock& clock, Group& group, StableStore& store, Application& application, Journal& journal, EngineBounds bounds);

  /// Restores the state from the records of the store, and joins the group if this server was a member of one. False if a record
  /// cannot be read. Call it once, before anything else.
  bool recover(const std::vector<std::string>& records);
  /// Stores the identity and calls `onSynced` once it is on the disk.
  void writeIdentity(const IdentityRecord& identity, std::function<void()> onSynced);
  const std::optional<IdentityRecord>& identity() const { return identity_; }
  /// Whether this server is a member of a group, in a primary component or not.
  bool isMember() const { return started_; }
  /// Starts as one of the founding members in `identity`.
  void foundGroup();
  /// Starts as a member from the state of another one; false if it is a member already or the snapshot does not contain it.
  bool joinFromSnapshot(const EngineSnapshot& snapshot);
  EngineSnapshot takeSnapshot() const;

  /// Replicates `update` and waits until it is green and applied here, at most until `deadline`.
  Task<OrderOutcome> order(std::string update, Instant deadline);
  /// Orders that `joiner` becomes a member; the effect is seen in `members`. Dropped during exchanges and view changes.
  void requestJoin(const ServerId& joiner);
  /// Orders that `leaver` is removed from the group for good. Dropped during exchanges and view changes.
  void requestLeave(const ServerId& leaver);
  void setBounds(EngineBounds bounds) { bounds_ = bounds; }
  bool hasMember(const ServerId& server) const { return greenLines_.contains(server); }
  /// The persistent members of the group after the green actions.
  std::set<ServerId> members() const;

  EngineState state() const { return state_; }
  /// Position of the last green action, the first being 1.
  std::uint64_t greenLine() const { return greenBase_ + green_.size(); }
  /// Position up to which actions are green at all members, as far as this one knows.
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
  /// The latest instant at which this member was certainly in the primary component with everything that was acknowledged
  /// before; see `Group::viewConfirmedAt`. No value outside of a primary component.
  std::optional<Instant> primaryConfirmedAt() const;
  /// Whether a green action has removed this server from the group.
  bool removedFromGroup() const { return removedFromGroup_; }
  /// Opens at each change of the state or the green order.
  Gate& changed() { return changed_; }

  void regularConfiguration(const Configuration& configuration) override;
  void transitionalConfiguration(const std::set<ServerId>& members) override;
  void deliver(const Delivery& delivery) override;
  void received(const std::vector<Delivery>& deliveries, std::function<void()> stable) override;
  bool hasLeft(const ServerId& server) const override { return formerMembers_.contains(server); }
  bool wantsExchange() const override;
  bool suspended() const override { return store_.refusesWrites(); }
  /// Cause while the disk refuses writes; nothing is ordered or acknowledged here meanwhile.
  std::optional<std::string> diskFault() const;
  Coverage coverage(const std::set<ServerId>& servers) const override;

 private:
  /// A request whose caller waits for the outcome.
  struct PendingRequest {
    std::optional<OrderOutcome> outcome;
    Gate gate;
  };
  /// A request that arrived during an exchange or a view change; it becomes an action afterwards.
  struct BufferedRequest {
    Action action;
    std::shared_ptr<PendingRequest> pending;
  };

  void enterState(EngineState state);
  void appendRecord(EngineRecordKind kind, std::string body);
  void recordMeta();
  void syncThen(std::function<void()> then);
  void syncThenSend(EngineMessageType type, std::string body, bool durable);
  void send(EngineMessageType type, std::string body, bool durable);
  void createAction(Action action, std::shared_ptr<PendingRequest> pending);
  void handleRequest(Action action, std::shared_ptr<PendingRequest> pending);
  void generate(const ActionId& actionId);
  void handleBufferedRequests();

  void onAction(const Action& action);
  void onState(const StateMessage& state);
  void onCpc(const CpcMessage& cpc);
  void shiftToExchangeStates();
  void shiftToExchangeActions();
  void planRetransmission();
  bool allTurnsDone() const { return turn_ >= turns_.size(); }
  /// Sends what this member has to retransmit if it is its turn.
  void retransmit();
  void retransmitGreen();
  void retransmitRed();
  void onRetransmitted(const EngineMessage& message);
  void onMessage(const EngineMessage& message);
  void invalidateVulnerable();
  std::set<ServerId> lostServers() const;
  void finishRetransmission();
  /// Merges the state messages into the latest primary component, yellow actions and vulnerability that any member knows of.
  void computeKnowledge();
  /// Whether the members of the configuration may form the next primary component.
  bool isQuorum() const;
  /// Installs the primary component: yellow actions become green first, then red ones in the order of their ids.
  void install();
  void markRed(const Action& action);
  void markYellow(const Action& action);
  void markGreen(const Action& action);
  void applyMembership(const Action& action);
  void applySnapshot(const EngineSnapshot& snapshot);
  /// After a restart: handles what was received of the last configuration as if that had just ended.
  void replayAsTransitional();
  void discardWhite();
  /// Bytes of actions that this member created or holds and that are not green yet.
  std::size_t pendingBytes() const;
  std::size_t greenBytesAfter(std::uint64_t position) const;
  void startFromFoundingMembers();
  void replayRecord(const EngineRecord& record);
  void rewriteStoreIfLarge();
  /// Records from which `recover` restores the current state.
  std::vector<std::string> fullState() const;
  MetaRecord meta() const;
  void completeRequest(const Action& action, std::uint64_t position, std::string reply);

  Clock& clock_;
  Group& group_;
  StableStore& store_;
  Application& application_;
  Journal& journal_;
  EngineBounds bounds_;

  std::optional<IdentityRecord> identity_;
  bool started_ = false;
  bool removedFromGroup_ = false;
  // while records are read back, nothing is written or logged
  bool replaying_ = false;
  ServerId serverId_;
  EngineState state_ = EngineState::nonPrim;
  Configuration conf_;
  std::uint64_t actionIndex_ = 0;
  std::uint64_t attemptIndex_ = 0;
  PrimComponent primComponent_;
  Vulnerable vulnerable_;
  Yellow yellow_;
  // see StateMessage::redCut, EngineSnapshot::greenCut and greenLines
  std::map<ServerId, std::uint64_t> redCut_;
  std::map<ServerId, std::uint64_t> greenCut_;
  std::map<ServerId, std::uint64_t> greenLines_;
  std::set<ServerId> formerMembers_;
  // own actions that have not come back in the order yet, by index
  std::map<std::uint64_t, Action> ongoingQueue_;
  // position of the last green action that is no longer in green_
  std::uint64_t greenBase_ = 0;
  std::deque<Action> green_;
  std::size_t greenBytes_ = 0;
  std::map<ActionId, Action> red_;
  std::map<ServerId, StateMessage> stateMessages_;
  std::set<ServerId> cpcs_;
  std::set<ServerId> lostServersAtExchange_;
  // members that retransmit, in this order; with greenTurn_ the first one sends green actions, the others send red ones
  std::vector<ServerId> turns_;
  bool greenTurn_ = false;
  // index in turns_ of the member that is retransmitting
  std::size_t turn_ = 0;
  std::deque<BufferedRequest> bufferedRequests_;
  // by the index of the action
  std::map<std::uint64_t, std::shared_ptr<PendingRequest>> pendingRequests_;
  // received and not delivered; after a restart, what was received of the last configuration
  std::deque<Delivery> undelivered_;
  std::size_t pendingDurableSyncs_ = 0;
  // size of the store after it was last rewritten
  std::size_t rewrittenBytes_ = 0;
  // expires with the engine, so that a late callback of the store does nothing
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  Gate changed_;
};

}  // namespace tamarindshift

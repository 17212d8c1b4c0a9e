#pragma once

#include "base/desk.hpp"
#include "control/duties.hpp"
#include "control/plan_result.hpp"
#include "control/replica_settings.hpp"
#include "edge/door.hpp"
#include "engine/core.hpp"
#include "news/news_desk.hpp"

namespace tamarindshift {

class ReplicaNode : public NewsSource {
 public:
  ReplicaNode(Clock& clock, PeerLink& link, StableStore& store, DatabaseControl& databases, Journal& journal, ReplicaSettings settings,
              std::uint64_t incarnation);

  std::optional<std::string> start();
  bool dismissed() const { return core_.removedFromGroup(); }
  const ReplicationEngine& engine() const { return core_.engine(); }
  ReplicationEngine& engine() { return core_.engine(); }
  const SequencedGroup& group() const { return core_.group(); }
  const ControlState& state() const { return state_; }
  const AccessTables& access() const { return access_; }
  const Duties& duties() const { return *duties_; }
  const ReplicaSettings& settings() const { return settings_; }
  const NewsBoard& board() const { return board_; }
  Journal& journal() { return journal_; }

  /// Orders a configuration and tells what became of it. Every verdict comes from the log, never from what this
  /// member holds by itself, so a member that is cut off confirms and refuses nothing.
  Task<PlanResult> orderPlan(std::string text);
  /// The same as an HTTP reply of our own API.
  Task<DoorReply> replacePlan(std::string text);
  Task<DoorReply> heartbeat(DatabaseHeartbeat heartbeat);
  Task<DoorReply> detach(DatabaseHeartbeat heartbeat);
  /// Detach of a database found by its heartbeats, by its id alone. Acknowledged once the log has it, also if this
  /// member does not know the id: another member may, and a heartbeat of it may still be on its way.
  Task<DoorReply> detach(DatabaseName database);
  /// Begins to leave: takes no more orders, then hands over (see `handOver`). `stopped` says when the process may end.
  void drain();
  bool draining() const { return drainingSince_.has_value(); }
  bool stopped() const;
  void change(ReplicaSettings settings);
  Task<DoorReply> removeMember(Address address);

  std::optional<Instant> leaseUntil(const Topic& topic) override;
  std::vector<DatabaseSign> signs(const Topic& topic) override;
  bool core() const override { return true; }
  std::uint64_t position(const Topic&) override { return state_.position(); }

 private:
  bool noteHeartbeat(const DatabaseHeartbeat& heartbeat, bool relay);
  bool known(const DatabaseHeartbeat& heartbeat) const;
  bool saysLeaving(const DatabaseHeartbeat& heartbeat) const;
  Task<std::optional<DoorReply>> enrol(DatabaseHeartbeat heartbeat);
  std::optional<DoorReply> cannotOrder() const;
  void serveHeartbeats(const std::string& subject, Task<DoorReply> (ReplicaNode::*taken)(DatabaseHeartbeat));
  Task<OrderOutcome> order(ControlMatter matter, std::string body);
  void serveDesk();
  Task<void> handOver();
  Task<void> watchDisk();

  Clock& clock_;
  DatabaseControl& databases_;
  Journal& journal_;
  ReplicaSettings settings_;
  NewsBoard board_;
  ControlState state_;
  AccessTables access_;
  Desk desk_;
  Core core_;
  std::unique_ptr<Duties> duties_;
  std::unique_ptr<NewsDesk> news_;
  std::size_t ordering_ = 0;
  std::optional<Instant> drainingSince_;
  std::optional<Instant> handedOverAt_;
  TaskScope scope_;
};

}  // namespace tamarindshift

#pragma once

// A replica of the control plane: group member, state machine, duties, and service for nodes, databases and operators.

#include "base/desk.hpp"
#include "control/duties.hpp"
#include "control/plan_result.hpp"
#include "control/replica_settings.hpp"
#include "edge/door.hpp"
#include "engine/core.hpp"
#include "updates/update_server.hpp"

namespace tamarindshift {

/// A replica of the control plane.
class ReplicaNode : public UpdateSource {
 public:
  ReplicaNode(Clock& clock, PeerLink& link, StableStore& store, DatabaseControl& databases, Journal& journal, ReplicaSettings settings,
              std::uint64_t incarnation);

  /// Reads the store and starts to serve. Returns the reason if that fails.
  std::optional<std::string> start();
  /// Whether the group has removed this member for good.
  bool dismissed() const { return core_.removedFromGroup(); }
  const ReplicationEngine& engine() const { return core_.engine(); }
  ReplicationEngine& engine() { return core_.engine(); }
  const SequencedGroup& group() const { return core_.group(); }
  const ControlState& state() const { return state_; }
  const ReportTables& reports() const { return reports_; }
  const Duties& duties() const { return *duties_; }
  const ReplicaSettings& settings() const { return settings_; }
  const UpdateStore& updateStore() const { return updateStore_; }
  Journal& journal() { return journal_; }

  /// Orders a plan and returns the outcome. Every verdict comes from the log, never from the local state, so that a member
  /// that is partitioned from the group confirms and rejects nothing.
  Task<PlanResult> orderPlan(std::string text);
  /// The same with the HTTP reply of the operator API.
  Task<DoorReply> replacePlan(std::string text);
  /// Records and relays the heartbeat of a database; enrols or drains the database through the log if needed.
  Task<DoorReply> heartbeat(DatabaseHeartbeat heartbeat);
  /// Detach with the fields of a heartbeat. Acknowledged once the log has it.
  Task<DoorReply> detach(DatabaseHeartbeat heartbeat);
  /// Detach of a discovered database by its id alone. Acknowledged once the log has it, even if this member does not know
  /// the id: another member may, and a heartbeat with the id may still be in transit.
  Task<DoorReply> detach(DatabaseName database);
  /// Starts to shut down: accepts no more orders, then hands over (see `handOver`). The process may end once `stopped` holds.
  void drain();
  bool draining() const { return drainingSince_.has_value(); }
  bool stopped() const;
  /// Applies settings that may change at run time.
  void updateSettings(ReplicaSettings settings);
  /// Removes a member from the group for good; waits until the removal is complete or times out.
  Task<DoorReply> removeMember(Address address);

  std::optional<Instant> leaseUntil(const Topic& topic) override;
  std::vector<DatabaseReport> databaseReports(const Topic& topic) override;
  bool isReplica() const override { return true; }
  std::uint64_t position(const Topic&) override { return state_.position(); }

 private:
  // False if the database is unknown. `relay`: also send the heartbeat to the other members.
  bool recordHeartbeat(const DatabaseHeartbeat& heartbeat, bool relay);
  bool isKnown(const DatabaseHeartbeat& heartbeat) const;
  bool isLeaving(const DatabaseHeartbeat& heartbeat) const;
  Task<std::optional<DoorReply>> enrol(DatabaseHeartbeat heartbeat);
  // The refusal to reply with where nothing can be ordered now: disk fault, no primary component, or draining.
  std::optional<DoorReply> orderingRefusal() const;
  void serveHeartbeats(const std::string& subject, Task<DoorReply> (ReplicaNode::*handler)(DatabaseHeartbeat));
  Task<OrderOutcome> order(ControlCommandType type, std::string body);
  void serveDesk();
  Task<void> handOver();
  Task<void> watchDisk();

  Clock& clock_;
  DatabaseControl& databases_;
  Journal& journal_;
  ReplicaSettings settings_;
  UpdateStore updateStore_;
  ControlState state_;
  ReportTables reports_;
  Desk desk_;
  Core core_;
  std::unique_ptr<Duties> duties_;
  std::unique_ptr<UpdateServer> updateServer_;
  std::size_t ordersInProgress_ = 0;
  std::optional<Instant> drainingSince_;
  std::optional<Instant> handedOverAt_;
  TaskScope scope_;
};

}  // namespace tamarindshift

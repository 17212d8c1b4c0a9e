/// Scripted databases behind DatabaseControl, for tests of the control plane: heartbeats, status, demotion and promotion.
#pragma once

// Databases with scripted behaviour, as test doubles for DatabaseControl.

#include <functional>

#include "base/gate.hpp"
#include "base/task_scope.hpp"
#include "control/database_control.hpp"
#include "control/report_messages.hpp"
#include "edge/door.hpp"

namespace tamarindshift {

/// Databases that send heartbeats and answer status, demote and promote calls as the test sets them up.
class ScriptedDatabases : public DatabaseControl {
 public:
  struct Database {
    DatabaseHeartbeat heartbeat;
    /// Position of the last entry of its log.
    LogPosition logPosition;
    /// The newest term that it knows of, if above that of its log.
    Epoch newestTerm;
    /// Whether the process runs.
    bool up = true;
    /// Neither answers calls nor sends heartbeats.
    bool unreachable = false;
    /// Answers calls but sends no heartbeats.
    bool heartbeatsStopped = false;
    /// Reply to a promote call.
    PromotionOutcome promotion = PromotionOutcome::accepted;
    /// Whether it becomes primary some time after accepting a promotion.
    bool promotesWhenAccepted = true;
    std::uint64_t statusCalls = 0;
    std::uint64_t promoteCalls = 0;
    std::vector<Epoch> demotedWith;
    Instant demotedAt{};
    /// When promote was last called.
    Instant promoteCalledAt{};
    /// When it last became primary by a promotion.
    Instant becamePrimaryAt{};
    Epoch term() const { return std::max(newestTerm, logPosition.epoch); }
  };
  using Deliver = std::function<Task<DoorReply>(DatabaseHeartbeat)>;

  ScriptedDatabases(Clock& clock, Deliver deliver) : clock_(clock), deliver_(std::move(deliver)) {}
  Database& at(const std::string& name) { return databases_.at(DatabaseName{name}); }
  void add(const DatabaseHeartbeat& heartbeat, LogPosition logPosition);
  /// Adds a database that sends no heartbeat and answers no call.
  void addUnreachable(const std::string& name) { databases_[DatabaseName{name}].unreachable = true; }
  /// Sends a heartbeat now.
  void sendHeartbeat(const std::string& name);
  std::uint64_t statusCalls() const;
  /// The holder of each promote call.
  const std::vector<DutyHolder>& holders() const { return holders_; }

  Task<std::optional<DatabaseStatus>> status(DatabaseTarget target, Instant deadline) override;
  Task<std::optional<DatabaseStatus>> demote(DatabaseTarget target, Epoch epoch, Instant deadline) override;
  Task<PromotionOutcome> promote(DatabaseTarget target, Epoch epoch, DutyHolder holder, Instant deadline) override;

 private:
  Task<void> sendHeartbeats(DatabaseName name);
  Task<void> becomePrimary(DatabaseName name);
  Task<void> deliver(DatabaseHeartbeat heartbeat);
  Task<bool> answers(DatabaseName name, Instant deadline);
  DatabaseStatus standing(const Database& database) const {
    return DatabaseStatus{database.heartbeat.role, database.logPosition.epoch, database.logPosition.position, {}, database.term()};
  }

  Clock& clock_;
  Deliver deliver_;
  std::map<DatabaseName, Database> databases_;
  std::vector<DutyHolder> holders_;
  TaskScope scope_;
};

}  // namespace tamarindshift

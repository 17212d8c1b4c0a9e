#pragma once

// The replicated state of the control plane, and how it is published to the nodes.

#include <optional>

#include "base/journal.hpp"
#include "control/control_command.hpp"
#include "control/departed_databases.hpp"
#include "control/enrolled_database.hpp"
#include "control/plan_version_history.hpp"
#include "engine/application.hpp"
#include "updates/update_store.hpp"

namespace tamarindshift {

/// The heartbeat that asked for a drain.
struct DrainMark {
  std::uint64_t boot = 0;
  std::uint64_t number = 0;
  /// Whether the database sent Detach: it does not come back.
  bool detached = false;
  MSGPACK_DEFINE(boot, number, detached)
};

/// A database that left and whose log passes to the next database at its address.
struct AwaitedSuccessor {
  Address address;
  DatabaseName predecessor;
  MSGPACK_DEFINE(address, predecessor)
};

/// Connections that a node which leaves or does not report may still hold.
struct ReservedShare {
  /// Position of the command that reserved them; the node releases them when it applies an update from there on.
  std::uint64_t reservedAt = 0;
  /// Position of the shares that they were part of.
  std::uint64_t basis = 0;
  std::map<BranchName, std::uint32_t> connections;
  MSGPACK_DEFINE(reservedAt, basis, connections)
};

struct ServiceState {
  Epoch epoch;
  /// The primary of the epoch, chosen or confirmed.
  DatabaseName primary;
  /// Whether the primary is confirmed to lead.
  bool promoted = false;
  /// The last primary that was confirmed, of this epoch or an earlier one; empty before the first.
  DatabaseName lastConfirmedPrimary;
  std::map<DatabaseName, DrainMark> drained;
  Grants grants;
  /// Position of the last change of `grants`, or of the plan that they were cut to.
  std::uint64_t sharesPosition = 0;
  std::map<Address, ReservedShare> reserved;
  /// Whether the last change of the primary is an orderly hand-over by the former one.
  bool plannedSwitchover = false;
  std::map<DatabaseName, Ration> rations;
  /// The newest term that the chosen database reported before it was chosen.
  Epoch chosenTerm{};
  /// The highest term of a confirmed promotion.
  Epoch confirmedTerm;
  /// Databases that left since the last promotion and have no successor yet; they may have held the newest commits.
  std::vector<AwaitedSuccessor> awaitedSuccessors;
  /// Whether the node has a share or a reserved one.
  bool hasShares(const Address& node) const { return grants.contains(node) || reserved.contains(node); }
  MSGPACK_DEFINE(epoch, primary, promoted, lastConfirmedPrimary, drained, grants, sharesPosition, reserved, plannedSwitchover, rations,
                 chosenTerm, confirmedTerm, awaitedSuccessors)
};

/// An enrolled access node.
struct NodeState {
  Zone zone;
  /// The run of the node's process that is enrolled.
  std::uint64_t boot = 0;
  bool draining = false;
  /// Position of the enrolment in the green order.
  std::uint64_t enrolledAt = 0;
  MSGPACK_DEFINE(zone, boot, draining, enrolledAt)
};

/// Replicated state machine of the control plane: applies the commands of the green order and publishes each topic whose
/// table changes. Deterministic, so that all members have the same state at the same position.
class ControlState : public Application {
 public:
  explicit ControlState(UpdateStore& updateStore) : updateStore_(updateStore) {}

  /// Applies one command and publishes its changes. Returns "held" or the reason why nothing changed; for a plan, the name
  /// of its verdict.
  std::string applyGreen(const Action& action, std::uint64_t position) override;
  std::string snapshot() const override;
  /// Replaces the state; false, and no change, if the snapshot cannot be read.
  bool restore(const std::string& snapshot) override;

  const std::optional<Plan>& plan() const { return plan_; }
  const std::string& planText() const { return planText_; }
  const std::map<ServiceName, ServiceState>& services() const { return services_; }
  const std::map<Address, NodeState>& nodes() const { return nodes_; }
  const std::map<ServiceName, EnrolledDatabases>& enrolled() const { return enrolled_; }
  /// Null if the database is not enrolled with the service.
  const EnrolledDatabase* enrolled(const ServiceName& service, const DatabaseName& database) const;
  /// The databases of a service: those that the plan lists, or those that are enrolled.
  EnrolledDatabases databases(const ServiceName& service) const;
  /// The service that an enrolled database belongs to.
  std::optional<ServiceName> serviceOf(const DatabaseName& database) const;
  /// Null if the plan has no such service.
  const PlanService* plannedService(const ServiceName& service) const;
  /// Whether the plan lists the databases of the service; false if they are discovered or the service is unknown.
  bool hasListedDatabases(const ServiceName& service) const;
  /// Null if the database is not drained.
  const DrainMark* drainMark(const ServiceName& service, const DatabaseName& database) const;
  /// Position of the last applied command in the green order.
  std::uint64_t position() const { return position_; }
  /// Whether a database with this id sent Detach; it is never enrolled again.
  bool departed(const DatabaseName& database) const { return departed_.contains(database); }
  const PlanVersionHistory& versions() const { return versions_; }

 private:
  std::string applyPlan(const PlanCommand& command);
  PlanVerdict judgePlan(const PlanCommand& command);
  // Drops or cuts what the new plan no longer allows: drains, rations and shares.
  void conformToPlan();
  std::string applyDrainOrReturn(const DatabaseCommand& command, bool drain);
  std::string applyEnrolment(const EnrolmentCommand& command);
  std::string removeDatabase(const DatabaseCommand& command);
  std::string applyRecovery(const RecoveryCommand& command);
  std::string applyPromoted(const PromotedCommand& command);
  std::string applyShares(const SharesCommand& command);
  std::string applyRation(const RationCommand& command);
  std::string applyNode(const NodeCommand& command, bool draining);
  std::string removeNode(const NodeCommand& command);
  // Moves services that the plan dropped to retired_, and back those that it has again.
  void retireServices(const Plan& plan);
  void awaitSuccessor(ServiceState& state, const ServiceName& service, const DatabaseName& database);
  void stopAwaitingSuccessor(const Address& address);
  // Removes an enrolled database with its drain and ration.
  void forgetDatabase(const ServiceName& service, const DatabaseName& database);
  // The state of a service in the plan, or a retired one; null if there is none.
  const ServiceState* findState(const ServiceName& service) const;
  ServiceState* findState(const ServiceName& service);
  void markChanged(const ServiceName& service) { changedTopics_.insert(service.get()); }
  void markAllChanged();
  TopicTable fleetTable() const;
  std::string publishedNode(const Address& address, const NodeState& node) const;
  void publishNodeChanges();
  TopicTable topicTable(const Topic& topic) const;
  TopicTable serviceTable(const ServiceName& name, const PlanService& service) const;
  // Publishes the topics and nodes that the last command may have changed.
  void publish();

  static constexpr std::size_t maxAwaitedSuccessors = 64;

  UpdateStore& updateStore_;
  std::optional<Plan> plan_;
  std::string planText_;
  std::map<ServiceName, ServiceState> services_;
  // Services that are not in the plan, kept for the case that a later plan has them again.
  std::map<ServiceName, ServiceState> retired_;
  std::map<ServiceName, EnrolledDatabases> enrolled_;
  std::map<Address, NodeState> nodes_;
  PlanVersionHistory versions_;
  DepartedDatabases departed_;
  std::uint64_t dutyEpoch_ = 0;
  std::uint64_t position_ = 0;
  // Topics whose tables the command may have changed.
  std::set<Topic> changedTopics_{fleetTopic};
  std::set<Address> changedNodes_;
};

}  // namespace tamarindshift

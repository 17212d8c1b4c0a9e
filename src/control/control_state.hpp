#pragma once

#include <optional>

#include "base/journal.hpp"
#include "control/control_command.hpp"
#include "control/departed_databases.hpp"
#include "control/enrolled_database.hpp"
#include "control/plan_version_history.hpp"
#include "engine/application.hpp"
#include "updates/update_store.hpp"

namespace tamarindshift {

struct DrainMark {
  std::uint64_t boot = 0;
  std::uint64_t number = 0;
  bool detached = false;
  MSGPACK_DEFINE(boot, number, detached)
};

/// A database that left and whose log passes to the next database at its address.
struct AwaitedSuccessor {
  Address address;
  DatabaseName predecessor;
  MSGPACK_DEFINE(address, predecessor)
};

struct ReservedShare {
  std::uint64_t reservedAt = 0;
  std::uint64_t basis = 0;
  std::map<BranchName, std::uint32_t> connections;
  MSGPACK_DEFINE(reservedAt, basis, connections)
};

struct ServiceState {
  Epoch epoch;
  DatabaseName primary;
  bool promoted = false;
  DatabaseName lastConfirmedPrimary;
  std::map<DatabaseName, DrainMark> drained;
  Grants grants;
  std::uint64_t sharesPosition = 0;
  std::map<Address, ReservedShare> reserved;
  bool plannedSwitchover = false;
  std::map<DatabaseName, Ration> rations;
  /// The newest term that the chosen database told before it was chosen.
  Epoch chosenTerm{};
  /// The term of the last promotion that was seen to have taken effect.
  Epoch confirmedTerm;
  /// Databases that left since the last promotion and have no successor yet; they may have held the newest commits.
  std::vector<AwaitedSuccessor> awaitedSuccessors;
  bool hasShares(const Address& node) const { return grants.contains(node) || reserved.contains(node); }
  MSGPACK_DEFINE(epoch, primary, promoted, lastConfirmedPrimary, drained, grants, sharesPosition, reserved, plannedSwitchover, rations,
                 chosenTerm, confirmedTerm, awaitedSuccessors)
};

struct NodeState {
  Zone zone;
  std::uint64_t boot = 0;
  bool draining = false;
  std::uint64_t enrolledAt = 0;
  MSGPACK_DEFINE(zone, boot, draining, enrolledAt)
};

class ControlState : public Application {
 public:
  explicit ControlState(UpdateStore& board) : board_(board) {}

  std::string applyGreen(const Action& action, std::uint64_t position) override;
  std::string snapshot() const override;
  bool restore(const std::string& snapshot) override;

  const std::optional<Plan>& plan() const { return plan_; }
  const std::string& planText() const { return planText_; }
  const std::map<ServiceName, ServiceState>& services() const { return services_; }
  const std::map<Address, NodeState>& nodes() const { return nodes_; }
  const std::map<ServiceName, EnrolledDatabases>& enrolled() const { return enrolled_; }
  const EnrolledDatabase* enrolled(const ServiceName& service, const DatabaseName& database) const;
  EnrolledDatabases databases(const ServiceName& service) const;
  /// The service that a database found by its heartbeats belongs to.
  std::optional<ServiceName> serviceOf(const DatabaseName& database) const;
  const PlanService* plannedService(const ServiceName& service) const;
  bool hasListedDatabases(const ServiceName& service) const;
  const DrainMark* drainMark(const ServiceName& service, const DatabaseName& database) const;
  std::uint64_t position() const { return position_; }
  /// Whether a database with this id said Detach; it is never enrolled again.
  bool departed(const DatabaseName& database) const { return departed_.contains(database); }
  const PlanVersionHistory& versions() const { return versions_; }

 private:
  std::string applyPlan(const PlanCommand& command);
  PlanVerdict judgePlan(const PlanCommand& command);
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
  void retireServices(const Plan& plan);
  void awaitSuccessor(ServiceState& state, const ServiceName& service, const DatabaseName& database);
  void stopAwaitingSuccessor(const Address& address);
  void forgetDatabase(const ServiceName& service, const DatabaseName& database);
  const ServiceState* findState(const ServiceName& service) const;
  ServiceState* findState(const ServiceName& service);
  void markChanged(const ServiceName& service) { changedTopics_.insert(service.get()); }
  void markAllChanged();
  TopicTable fleetTable() const;
  std::string publishedNode(const Address& address, const NodeState& node) const;
  void publishNodeChanges();
  TopicTable topicTable(const Topic& topic) const;
  TopicTable serviceTable(const ServiceName& name, const PlanService& service) const;
  void publish();

  static constexpr std::size_t maxAwaitedSuccessors = 64;

  UpdateStore& board_;
  std::optional<Plan> plan_;
  std::string planText_;
  std::map<ServiceName, ServiceState> services_;
  std::map<ServiceName, ServiceState> retired_;
  std::map<ServiceName, EnrolledDatabases> enrolled_;
  std::map<Address, NodeState> nodes_;
  PlanVersionHistory versions_;
  DepartedDatabases departed_;
  std::uint64_t dutyEpoch_ = 0;
  std::uint64_t position_ = 0;
  // topics whose tables an action may have changed
  std::set<Topic> changedTopics_{fleetTopic};
  std::set<Address> changedNodes_;
};

}  // namespace tamarindshift

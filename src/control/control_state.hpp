#pragma once

#include <optional>

#include "base/journal.hpp"
#include "control/control_update.hpp"
#include "control/departed_databases.hpp"
#include "control/enrolled_database.hpp"
#include "control/version_ledger.hpp"
#include "engine/application.hpp"
#include "updates/update_store.hpp"

namespace tamarindshift {

struct DrainMark {
  std::uint64_t boot = 0;
  std::uint64_t number = 0;
  bool gone = false;
  MSGPACK_DEFINE(boot, number, gone)
};

/// A database that left and whose log passes to the next database at its address.
struct AwaitedSuccessor {
  Address address;
  DatabaseName predecessor;
  MSGPACK_DEFINE(address, predecessor)
};

struct ReservedShare {
  std::uint64_t at = 0;
  std::uint64_t basis = 0;
  std::map<BranchName, std::uint32_t> most;
  MSGPACK_DEFINE(at, basis, most)
};

struct ServiceState {
  Epoch epoch;
  DatabaseName primary;
  bool promoted = false;
  DatabaseName servedBy;
  std::map<DatabaseName, DrainMark> drained;
  Grants grants;
  std::uint64_t sharesAt = 0;
  std::map<Address, ReservedShare> reserved;
  bool planned = false;
  std::map<DatabaseName, Ration> rations;
  /// The newest term that the chosen database told before it was chosen.
  Epoch chosenTerm{};
  /// The term of the last promotion that was seen to have taken effect.
  Epoch ledTerm;
  /// Databases that left since the last promotion and have no successor yet; they may have held the newest commits.
  std::vector<AwaitedSuccessor> awaitedSuccessors;
  bool holds(const Address& node) const { return grants.contains(node) || reserved.contains(node); }
  MSGPACK_DEFINE(epoch, primary, promoted, servedBy, drained, grants, sharesAt, reserved, planned, rations, chosenTerm, ledTerm,
                 awaitedSuccessors)
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
  const PlanService* planned(const ServiceName& service) const;
  bool listed(const ServiceName& service) const;
  const DrainMark* drained(const ServiceName& service, const DatabaseName& database) const;
  std::uint64_t position() const { return position_; }
  /// Whether a database with this id said Detach; it is never enrolled again.
  bool departed(const DatabaseName& database) const { return departed_.contains(database); }
  const VersionLedger& versions() const { return versions_; }

 private:
  std::string applyPlan(const PlanUpdate& update);
  PlanVerdict judgePlan(const PlanUpdate& update);
  void followPlan();
  std::string applyDatabase(const DatabaseUpdate& update, bool drained);
  std::string applyEnrolment(const EnrolmentUpdate& update);
  std::string removeDatabase(const DatabaseUpdate& update);
  std::string applyRecovery(const RecoveryUpdate& update);
  std::string applyPromoted(const PromotedUpdate& update);
  std::string applyShares(const SharesUpdate& update);
  std::string applyRation(const RationUpdate& update);
  std::string applyNode(const NodeUpdate& update, bool draining);
  std::string removeNode(const NodeUpdate& update);
  void retire(const Plan& plan);
  void awaitSuccessor(ServiceState& state, const ServiceName& service, const DatabaseName& database);
  void endAwaiting(const Address& address);
  void leave(const ServiceName& service, const DatabaseName& database);
  const ServiceState* known(const ServiceName& service) const;
  ServiceState* known(const ServiceName& service);
  void touch(const ServiceName& service) { touched_.insert(service.get()); }
  void touchAll();
  TopicTable fleetNews() const;
  std::string nodeNews(const Address& address, const NodeState& node) const;
  void publishNodes();
  TopicTable news(const Topic& topic) const;
  TopicTable serviceNews(const ServiceName& name, const PlanService& service) const;
  void publish();

  static constexpr std::size_t mostAwaitedSuccessors = 64;

  UpdateStore& board_;
  std::optional<Plan> plan_;
  std::string planText_;
  std::map<ServiceName, ServiceState> services_;
  std::map<ServiceName, ServiceState> retired_;
  std::map<ServiceName, EnrolledDatabases> enrolled_;
  std::map<Address, NodeState> nodes_;
  VersionLedger versions_;
  DepartedDatabases departed_;
  std::uint64_t dutyEpoch_ = 0;
  std::uint64_t position_ = 0;
  // topics whose tables an action may have changed
  std::set<Topic> touched_{fleetTopic};
  std::set<Address> touchedNodes_;
};

}  // namespace tamarindshift

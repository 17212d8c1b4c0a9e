#pragma once

#include <optional>

#include "base/journal.hpp"
#include "control/control_update.hpp"
#include "engine/application.hpp"
#include "news/news_board.hpp"

namespace tamarindshift {

struct DrainMark {
  std::uint64_t boot = 0;
  std::uint64_t number = 0;
  MSGPACK_DEFINE(boot, number)
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
  bool holds(const Address& node) const { return grants.contains(node) || reserved.contains(node); }
  MSGPACK_DEFINE(epoch, primary, promoted, servedBy, drained, grants, sharesAt, reserved)
};

struct NodeState {
  District district;
  std::uint64_t boot = 0;
  bool draining = false;
  MSGPACK_DEFINE(district, boot, draining)
};

class ControlState : public Application {
 public:
  explicit ControlState(NewsBoard& board) : board_(board) {}

  std::string applyGreen(const Action& action, std::uint64_t position) override;
  std::string snapshot() const override;
  bool restore(const std::string& snapshot) override;

  const std::optional<Plan>& plan() const { return plan_; }
  const std::string& planText() const { return planText_; }
  const std::map<ServiceName, ServiceState>& services() const { return services_; }
  const std::map<Address, NodeState>& nodes() const { return nodes_; }
  std::uint64_t position() const { return position_; }

 private:
  std::string applyPlan(const PlanUpdate& update);
  std::string applyDatabase(const DatabaseUpdate& update, bool drained);
  std::string applyRecovery(const RecoveryUpdate& update);
  std::string applyPromoted(const PromotedUpdate& update);
  std::string applyShares(const SharesUpdate& update);
  std::string applyNode(const NodeUpdate& update, bool draining);
  std::string removeNode(const NodeUpdate& update);
  void retire(const Plan& plan);
  void publish();

  NewsBoard& board_;
  std::optional<Plan> plan_;
  std::string planText_;
  std::map<ServiceName, ServiceState> services_;
  std::map<ServiceName, ServiceState> retired_;
  std::map<Address, NodeState> nodes_;
  std::uint64_t dutyEpoch_ = 0;
  std::uint64_t position_ = 0;
};

}  // namespace tamarindshift

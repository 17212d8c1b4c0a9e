#include "control/control_state.hpp"

#include <algorithm>

#include "control/plan_reader.hpp"

namespace tamarindshift {

std::string ControlState::applyGreen(const Action& action, std::uint64_t position) {
  position_ = position;
  auto command = unpacked<ControlCommand>(action.update);
  if (!command) return "unreadable";
  if (command->dutyEpoch != 0) {
    if (command->dutyEpoch < dutyEpoch_) return "lower duty epoch";
    dutyEpoch_ = command->dutyEpoch;
  }
  std::string reply = "unreadable";
  auto apply = [&]<class Body>(auto&& handler, const std::optional<Body>& body) {
    if (body) reply = handler(*body);
  };
  switch (command->type) {
    case ControlCommandType::plan:
      apply(
          [this](const auto& body) {
            return applyPlan(body);
          },
          unpacked<PlanCommand>(command->body));
      break;
    case ControlCommandType::drainDatabase:
      apply(
          [this](const auto& body) {
            return applyDrainOrReturn(body, true);
          },
          unpacked<DatabaseCommand>(command->body));
      break;
    case ControlCommandType::returnDatabase:
      apply(
          [this](const auto& body) {
            return applyDrainOrReturn(body, false);
          },
          unpacked<DatabaseCommand>(command->body));
      break;
    case ControlCommandType::enrolDatabase:
      apply(
          [this](const auto& body) {
            return applyEnrolment(body);
          },
          unpacked<EnrolmentCommand>(command->body));
      break;
    case ControlCommandType::removeDatabase:
      apply(
          [this](const auto& body) {
            return removeDatabase(body);
          },
          unpacked<DatabaseCommand>(command->body));
      break;
    case ControlCommandType::recovery:
      apply(
          [this](const auto& body) {
            return applyRecovery(body);
          },
          unpacked<RecoveryCommand>(command->body));
      break;
    case ControlCommandType::promoted:
      apply(
          [this](const auto& body) {
            return applyPromoted(body);
          },
          unpacked<PromotedCommand>(command->body));
      break;
    case ControlCommandType::shares:
      apply(
          [this](const auto& body) {
            return applyShares(body);
          },
          unpacked<SharesCommand>(command->body));
      break;
    case ControlCommandType::ration:
      apply(
          [this](const auto& body) {
            return applyRation(body);
          },
          unpacked<RationCommand>(command->body));
      break;
    case ControlCommandType::enrolNode:
      apply(
          [this](const auto& body) {
            return applyNode(body, false);
          },
          unpacked<NodeCommand>(command->body));
      break;
    case ControlCommandType::drainNode:
      apply(
          [this](const auto& body) {
            return applyNode(body, true);
          },
          unpacked<NodeCommand>(command->body));
      break;
    case ControlCommandType::removeNode:
      apply(
          [this](const auto& body) {
            return removeNode(body);
          },
          unpacked<NodeCommand>(command->body));
      break;
  }
  publish();
  return reply;
}

std::string ControlState::applyPlan(const PlanCommand& command) {
  return text(judgePlan(command));
}

PlanVerdict ControlState::judgePlan(const PlanCommand& command) {
  auto digest = contentDigest(command.text);
  if (auto known = versions_.find(digest)) return *known;
  PlanReader reader;
  auto plan = reader.read(command.text);
  if (!plan) return PlanVerdict::broken;
  if (auto known = versions_.verdict(plan->mark, digest)) return *known;
  bool overtaken = plan_ && plan->mark <= plan_->mark;
  versions_.record(plan->mark, std::move(digest), !overtaken);
  if (overtaken) return PlanVerdict::overtaken;
  plan_ = std::move(plan);
  planText_ = command.text;
  conformToPlan();
  return PlanVerdict::held;
}

void ControlState::conformToPlan() {
  retireServices(*plan_);
  markAllChanged();
  for (const auto& [name, service] : plan_->services) {
    auto& state = services_[name];
    auto databases = this->databases(name);
    std::erase_if(state.drained, [&](const auto& database) {
      return !databases.contains(database.first);
    });
    std::erase_if(state.rations, [&](const auto& database) {
      return !databases.contains(database.first);
    });
    state.sharesPosition = position_;
    std::map<BranchName, std::uint32_t> sums;
    auto cutToBranches = [&](std::map<BranchName, std::uint32_t>& branches) {
      std::erase_if(branches, [&](const auto& branch) {
        return !service.branches.contains(branch.first);
      });
      for (auto& [branch, amount] : branches) {
        auto& sum = sums[branch];
        amount = std::min(amount, service.branches.at(branch).connections - sum);
        sum += amount;
      }
    };
    // A node whose reserved share was cut may hold it until it applies this update; its time-out starts again here.
    for (auto& [node, share] : state.reserved) {
      auto before = share.connections;
      cutToBranches(share.connections);
      if (share.connections != before) share.reservedAt = share.basis = position_;
    }
    for (auto& [node, branches] : state.grants) cutToBranches(branches);
  }
}

void ControlState::retireServices(const Plan& plan) {
  std::erase_if(services_, [&](const auto& each) {
    const auto& [name, state] = each;
    if (plan.services.contains(name)) return false;
    auto& kept = retired_[name];
    kept.epoch = state.epoch;
    kept.primary = state.primary;
    kept.promoted = state.promoted;
    kept.lastConfirmedPrimary = state.lastConfirmedPrimary;
    kept.reserved = state.reserved;
    kept.plannedSwitchover = state.plannedSwitchover;
    kept.chosenTerm = state.chosenTerm;
    kept.confirmedTerm = state.confirmedTerm;
    kept.awaitedSuccessors = state.awaitedSuccessors;
    if (enrolled_.contains(name)) kept.drained = state.drained;
    for (const auto& [node, connections] : state.grants) kept.reserved[node] = ReservedShare{position_, state.sharesPosition, connections};
    return true;
  });
  for (const auto& [name, service] : plan.services)
    if (auto back = retired_.extract(name)) services_.insert(std::move(back));
}

std::optional<ServiceName> ControlState::serviceOf(const DatabaseName& database) const {
  for (const auto& [service, databases] : enrolled_)
    if (databases.contains(database)) return service;
  return std::nullopt;
}

std::string ControlState::applyDrainOrReturn(const DatabaseCommand& command, bool drain) {
  bool leavesForGood = drain && command.detached && !hasListedDatabases(command.service);
  if (leavesForGood) departed_.add(command.database, position_);
  auto service = command.service.get().empty() ? serviceOf(command.database).value_or(command.service) : command.service;
  if (!databases(service).contains(command.database)) return leavesForGood ? "held" : "no such database";
  auto& state = services_.contains(service) ? services_.at(service) : retired_[service];
  markChanged(service);
  if (!drain) {
    state.drained.erase(command.database);
    return "held";
  }
  auto before = state.drained.find(command.database);
  bool detached = command.detached || (before != state.drained.end() && before->second.detached);
  state.drained[command.database] = DrainMark{command.boot, command.number, detached};
  return "held";
}

const PlanService* ControlState::plannedService(const ServiceName& service) const {
  if (!plan_) return nullptr;
  auto found = plan_->services.find(service);
  return found == plan_->services.end() ? nullptr : &found->second;
}

bool ControlState::hasListedDatabases(const ServiceName& service) const {
  const auto* found = plannedService(service);
  return found && !found->discovered;
}

const EnrolledDatabase* ControlState::enrolled(const ServiceName& service, const DatabaseName& database) const {
  auto own = enrolled_.find(service);
  if (own == enrolled_.end()) return nullptr;
  auto found = own->second.find(database);
  return found == own->second.end() ? nullptr : &found->second;
}

EnrolledDatabases ControlState::databases(const ServiceName& service) const {
  EnrolledDatabases databases;
  if (hasListedDatabases(service)) {
    for (const auto& [name, database] : plannedService(service)->databases)
      databases[name] = EnrolledDatabase{database.address, {}, database.cap};
  } else if (auto own = enrolled_.find(service); own != enrolled_.end()) {
    databases = own->second;
  }
  return databases;
}

const ServiceState* ControlState::findState(const ServiceName& service) const {
  if (auto found = services_.find(service); found != services_.end()) return &found->second;
  auto found = retired_.find(service);
  return found == retired_.end() ? nullptr : &found->second;
}

ServiceState* ControlState::findState(const ServiceName& service) {
  return const_cast<ServiceState*>(std::as_const(*this).findState(service));
}

const DrainMark* ControlState::drainMark(const ServiceName& service, const DatabaseName& database) const {
  const auto* state = findState(service);
  if (!state) return nullptr;
  auto found = state->drained.find(database);
  return found == state->drained.end() ? nullptr : &found->second;
}

// A draining database counts for synchronous replication until it ends; the next database at its address takes over its log.
void ControlState::awaitSuccessor(ServiceState& state, const ServiceName& service, const DatabaseName& database) {
  const auto* own = enrolled(service, database);
  if (!own || !state.drained.contains(database)) return;
  auto& awaited = state.awaitedSuccessors;
  awaited.push_back(AwaitedSuccessor{own->address, database});
  if (awaited.size() > maxAwaitedSuccessors) awaited.erase(awaited.begin());
}

void ControlState::stopAwaitingSuccessor(const Address& address) {
  for (auto* states : {&services_, &retired_})
    for (auto& [name, state] : *states)
      std::erase_if(state.awaitedSuccessors, [&](const auto& each) {
        return each.address == address;
      });
}

void ControlState::forgetDatabase(const ServiceName& service, const DatabaseName& database) {
  markChanged(service);
  auto own = enrolled_.find(service);
  own->second.erase(database);
  if (own->second.empty()) enrolled_.erase(own);
  for (auto* states : {&services_, &retired_})
    if (auto state = states->find(service); state != states->end())
      state->second.drained.erase(database), state->second.rations.erase(database);
}

std::string ControlState::applyEnrolment(const EnrolmentCommand& command) {
  if (hasListedDatabases(command.service)) return "the service's databases are listed";
  if (departed_.contains(command.database)) return "it left for good";
  std::vector<std::pair<ServiceName, DatabaseName>> former;
  for (const auto& [service, databases] : enrolled_)
    for (const auto& [name, database] : databases)
      if (database.address == command.address && (service != command.service || name != command.database))
        former.emplace_back(service, name);
  for (const auto& [service, name] : former) forgetDatabase(service, name);
  stopAwaitingSuccessor(command.address);
  markChanged(command.service);
  enrolled_[command.service][command.database] = EnrolledDatabase{command.address, command.zone, command.capacity};
  return "held";
}

std::string ControlState::removeDatabase(const DatabaseCommand& command) {
  if (!enrolled(command.service, command.database)) return "no such database";
  auto* served = findState(command.service);
  if (served && services_.contains(command.service) && served->primary == command.database) return "it is the primary";
  if (served) awaitSuccessor(*served, command.service, command.database);
  forgetDatabase(command.service, command.database);
  return "held";
}

std::string ControlState::applyRecovery(const RecoveryCommand& command) {
  auto service = services_.find(command.service);
  if (service == services_.end() || service->second.epoch != command.oldEpoch) return "other epoch";
  if (!databases(command.service).contains(command.chosen)) return "no such database";
  markChanged(command.service);
  auto& state = service->second;
  state.epoch = Epoch{state.epoch.get() + 1};
  state.primary = command.chosen;
  state.promoted = false;
  state.plannedSwitchover = command.plannedSwitchover;
  state.chosenTerm = command.chosenTerm;
  return "held";
}

std::string ControlState::applyPromoted(const PromotedCommand& command) {
  auto service = services_.find(command.service);
  if (service == services_.end() || service->second.epoch != command.epoch) return "other epoch";
  markChanged(command.service);
  service->second.promoted = true;
  service->second.lastConfirmedPrimary = service->second.primary;
  service->second.confirmedTerm = std::max(service->second.confirmedTerm, command.term);
  service->second.awaitedSuccessors.clear();
  return "held";
}

std::string ControlState::applyShares(const SharesCommand& command) {
  auto service = services_.find(command.service);
  if (service == services_.end() || service->second.sharesPosition != command.basis) return "other basis";
  const auto& branches = plan_->services.at(command.service).branches;
  std::map<BranchName, std::uint64_t> sums;
  for (const auto& shares : {command.grants, command.reserved})
    for (const auto& [node, grants] : shares)
      for (const auto& [branch, amount] : grants) {
        if (!branches.contains(branch)) return "no such branch";
        if ((sums[branch] += amount) > branches.at(branch).connections) return "over the branch";
      }
  auto& reserved = service->second.reserved;
  std::erase_if(reserved, [&](const auto& each) {
    return !command.reserved.contains(each.first);
  });
  for (const auto& [node, connections] : command.reserved)
    if (auto [held, inserted] = reserved.try_emplace(node, ReservedShare{position_, command.basis, connections}); !inserted)
      held->second.connections = connections;
  if (service->second.grants == command.grants) return "held";
  markChanged(command.service);
  service->second.grants = command.grants;
  service->second.sharesPosition = position_;
  return "held";
}

std::string ControlState::applyRation(const RationCommand& command) {
  auto service = services_.find(command.service);
  if (service == services_.end() || !databases(command.service).contains(command.database)) return "no such database";
  markChanged(command.service);
  if (command.ration)
    service->second.rations[command.database] = *command.ration;
  else
    service->second.rations.erase(command.database);
  return "held";
}

std::string ControlState::applyNode(const NodeCommand& command, bool draining) {
  if (draining) {
    auto found = nodes_.find(command.node);
    if (found == nodes_.end() || found->second.boot != command.boot) return "other boot";
    found->second.draining = true;
    changedNodes_.insert(command.node);
    return "held";
  }
  changedNodes_.insert(command.node);
  nodes_[command.node] = NodeState{command.zone, command.boot, false, position_};
  return "held";
}

std::string ControlState::removeNode(const NodeCommand& command) {
  auto found = nodes_.find(command.node);
  if (found == nodes_.end() || found->second.boot != command.boot) return "other boot";
  for (const auto& [name, service] : services_)
    if (service.hasShares(command.node)) return "holds shares";
  nodes_.erase(found);
  changedNodes_.insert(command.node);
  return "held";
}

// The stored form of the state. Fields are written by position.
struct ControlSnapshot {
  std::string planText;
  std::map<ServiceName, ServiceState> services;
  std::map<Address, NodeState> nodes;
  std::uint64_t dutyEpoch = 0;
  std::uint64_t position = 0;
  std::map<ServiceName, ServiceState> retired;
  std::map<ServiceName, EnrolledDatabases> enrolled;
  // Position at which each topic changed last; the same at all replicas.
  std::map<Topic, std::uint64_t> marks;
  PlanVersionHistory versions;
  DepartedDatabases departed;
  MSGPACK_DEFINE(planText, services, nodes, dutyEpoch, position, retired, enrolled, marks, versions, departed)
};

std::string ControlState::snapshot() const {
  std::map<Topic, std::uint64_t> marks;
  for (const auto& [topic, entry] : updateStore_.topics()) marks[topic] = entry->mark;
  return packed(
      ControlSnapshot{planText_, services_, nodes_, dutyEpoch_, position_, retired_, enrolled_, std::move(marks), versions_, departed_});
}

bool ControlState::restore(const std::string& snapshot) {
  auto restored = unpacked<ControlSnapshot>(snapshot);
  if (!restored) return false;
  const auto& text = restored->planText;
  std::optional<Plan> plan;
  if (!text.empty()) {
    plan = PlanReader{}.read(text);
    if (!plan) return false;
  }
  plan_ = std::move(plan);
  planText_ = text;
  services_ = restored->services;
  retired_ = restored->retired;
  enrolled_ = restored->enrolled;
  nodes_ = restored->nodes;
  versions_ = restored->versions;
  departed_ = restored->departed;
  // A snapshot of an earlier program version has no plan version history; record at least the plan in force.
  if (plan_ && versions_.size() == 0) versions_.record(plan_->mark, contentDigest(planText_), true);
  dutyEpoch_ = restored->dutyEpoch;
  position_ = restored->position;
  if (restored->marks.empty() && !plan_ && nodes_.empty()) return true;
  markAllChanged();
  for (const auto& [topic, mark] : restored->marks) changedTopics_.insert(topic);
  for (const auto& topic : changedTopics_) {
    auto mark = restored->marks.find(topic);
    updateStore_.restore(topic, mark == restored->marks.end() ? position_ : mark->second, topicTable(topic));
  }
  changedTopics_.clear();
  changedNodes_.clear();
  return true;
}

}  // namespace tamarindshift

#include "control/control_state.hpp"

#include <algorithm>

#include "control/plan_reader.hpp"

namespace tamarindshift {

std::string ControlState::applyGreen(const Action& action, std::uint64_t position) {
  position_ = position;
  auto update = unpacked<ControlUpdate>(action.update);
  if (!update) return "unreadable";
  if (update->dutyEpoch != 0) {
    if (update->dutyEpoch < dutyEpoch_) return "lower duty epoch";
    dutyEpoch_ = update->dutyEpoch;
  }
  std::string reply = "unreadable";
  auto apply = [&]<class Body>(auto&& handler, const std::optional<Body>& body) {
    if (body) reply = handler(*body);
  };
  switch (update->matter) {
    case ControlMatter::plan:
      apply(
          [this](const auto& body) {
            return applyPlan(body);
          },
          unpacked<PlanUpdate>(update->body));
      break;
    case ControlMatter::drainDatabase:
      apply(
          [this](const auto& body) {
            return applyDatabase(body, true);
          },
          unpacked<DatabaseUpdate>(update->body));
      break;
    case ControlMatter::returnDatabase:
      apply(
          [this](const auto& body) {
            return applyDatabase(body, false);
          },
          unpacked<DatabaseUpdate>(update->body));
      break;
    case ControlMatter::enrolDatabase:
      apply(
          [this](const auto& body) {
            return applyEnrolment(body);
          },
          unpacked<EnrolmentUpdate>(update->body));
      break;
    case ControlMatter::removeDatabase:
      apply(
          [this](const auto& body) {
            return removeDatabase(body);
          },
          unpacked<DatabaseUpdate>(update->body));
      break;
    case ControlMatter::recovery:
      apply(
          [this](const auto& body) {
            return applyRecovery(body);
          },
          unpacked<RecoveryUpdate>(update->body));
      break;
    case ControlMatter::promoted:
      apply(
          [this](const auto& body) {
            return applyPromoted(body);
          },
          unpacked<PromotedUpdate>(update->body));
      break;
    case ControlMatter::shares:
      apply(
          [this](const auto& body) {
            return applyShares(body);
          },
          unpacked<SharesUpdate>(update->body));
      break;
    case ControlMatter::ration:
      apply(
          [this](const auto& body) {
            return applyRation(body);
          },
          unpacked<RationUpdate>(update->body));
      break;
    case ControlMatter::enrolNode:
      apply(
          [this](const auto& body) {
            return applyNode(body, false);
          },
          unpacked<NodeUpdate>(update->body));
      break;
    case ControlMatter::drainNode:
      apply(
          [this](const auto& body) {
            return applyNode(body, true);
          },
          unpacked<NodeUpdate>(update->body));
      break;
    case ControlMatter::removeNode:
      apply(
          [this](const auto& body) {
            return removeNode(body);
          },
          unpacked<NodeUpdate>(update->body));
      break;
  }
  publish();
  return reply;
}

std::string ControlState::applyPlan(const PlanUpdate& update) {
  return text(judgePlan(update));
}

PlanVerdict ControlState::judgePlan(const PlanUpdate& update) {
  auto digest = contentDigest(update.text);
  if (auto known = versions_.known(digest)) return *known;
  PlanReader reader;
  auto plan = reader.read(update.text);
  if (!plan) return PlanVerdict::broken;
  if (auto known = versions_.judge(plan->mark, digest)) return *known;
  bool overtaken = plan_ && plan->mark <= plan_->mark;
  versions_.note(plan->mark, std::move(digest), !overtaken);
  if (overtaken) return PlanVerdict::overtaken;
  plan_ = std::move(plan);
  planText_ = update.text;
  followPlan();
  return PlanVerdict::held;
}

void ControlState::followPlan() {
  retire(*plan_);
  touchAll();
  for (const auto& [name, service] : plan_->services) {
    auto& state = services_[name];
    auto databases = this->databases(name);
    std::erase_if(state.drained, [&](const auto& database) {
      return !databases.contains(database.first);
    });
    std::erase_if(state.rations, [&](const auto& database) {
      return !databases.contains(database.first);
    });
    state.sharesAt = position_;
    std::map<BranchName, std::uint32_t> sums;
    auto fit = [&](std::map<BranchName, std::uint32_t>& branches) {
      std::erase_if(branches, [&](const auto& branch) {
        return !service.branches.contains(branch.first);
      });
      for (auto& [branch, amount] : branches) {
        auto& sum = sums[branch];
        amount = std::min(amount, service.branches.at(branch).connections - sum);
        sum += amount;
      }
    };
    // a node that lost some of it may hold it until it follows, or until its time is over from now on
    for (auto& [node, share] : state.reserved) {
      auto before = share.most;
      fit(share.most);
      if (share.most != before) share.at = share.basis = position_;
    }
    for (auto& [node, branches] : state.grants) fit(branches);
  }
}

void ControlState::retire(const Plan& plan) {
  std::erase_if(services_, [&](const auto& each) {
    const auto& [name, state] = each;
    if (plan.services.contains(name)) return false;
    auto& kept = retired_[name];
    kept.epoch = state.epoch;
    kept.primary = state.primary;
    kept.promoted = state.promoted;
    kept.servedBy = state.servedBy;
    kept.reserved = state.reserved;
    kept.planned = state.planned;
    kept.chosenTerm = state.chosenTerm;
    kept.ledTerm = state.ledTerm;
    kept.awaitedSuccessors = state.awaitedSuccessors;
    if (enrolled_.contains(name)) kept.drained = state.drained;
    for (const auto& [node, most] : state.grants) kept.reserved[node] = ReservedShare{position_, state.sharesAt, most};
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

std::string ControlState::applyDatabase(const DatabaseUpdate& update, bool drained) {
  bool leavesForGood = drained && update.gone && !listed(update.service);
  if (leavesForGood) departed_.add(update.database, position_);
  auto service = update.service.get().empty() ? serviceOf(update.database).value_or(update.service) : update.service;
  if (!databases(service).contains(update.database)) return leavesForGood ? "held" : "no such database";
  auto& state = services_.contains(service) ? services_.at(service) : retired_[service];
  touch(service);
  if (!drained) {
    state.drained.erase(update.database);
    return "held";
  }
  auto before = state.drained.find(update.database);
  bool gone = update.gone || (before != state.drained.end() && before->second.gone);
  state.drained[update.database] = DrainMark{update.boot, update.number, gone};
  return "held";
}

const PlanService* ControlState::planned(const ServiceName& service) const {
  if (!plan_) return nullptr;
  auto found = plan_->services.find(service);
  return found == plan_->services.end() ? nullptr : &found->second;
}

bool ControlState::listed(const ServiceName& service) const {
  const auto* found = planned(service);
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
  if (listed(service)) {
    for (const auto& [name, database] : planned(service)->databases) databases[name] = EnrolledDatabase{database.address, {}, database.cap};
  } else if (auto own = enrolled_.find(service); own != enrolled_.end()) {
    databases = own->second;
  }
  return databases;
}

const ServiceState* ControlState::known(const ServiceName& service) const {
  if (auto found = services_.find(service); found != services_.end()) return &found->second;
  auto found = retired_.find(service);
  return found == retired_.end() ? nullptr : &found->second;
}

ServiceState* ControlState::known(const ServiceName& service) {
  return const_cast<ServiceState*>(std::as_const(*this).known(service));
}

const DrainMark* ControlState::drained(const ServiceName& service, const DatabaseName& database) const {
  const auto* state = known(service);
  if (!state) return nullptr;
  auto found = state->drained.find(database);
  return found == state->drained.end() ? nullptr : &found->second;
}

// a database that quiesces counts for synchronous replication to its end, and its log passes to the next one at its address
void ControlState::awaitSuccessor(ServiceState& state, const ServiceName& service, const DatabaseName& database) {
  const auto* own = enrolled(service, database);
  if (!own || !state.drained.contains(database)) return;
  auto& awaited = state.awaitedSuccessors;
  awaited.push_back(AwaitedSuccessor{own->address, database});
  if (awaited.size() > mostAwaitedSuccessors) awaited.erase(awaited.begin());
}

void ControlState::endAwaiting(const Address& address) {
  for (auto* states : {&services_, &retired_})
    for (auto& [name, state] : *states)
      std::erase_if(state.awaitedSuccessors, [&](const auto& each) {
        return each.address == address;
      });
}

void ControlState::leave(const ServiceName& service, const DatabaseName& database) {
  touch(service);
  auto own = enrolled_.find(service);
  own->second.erase(database);
  if (own->second.empty()) enrolled_.erase(own);
  for (auto* states : {&services_, &retired_})
    if (auto state = states->find(service); state != states->end())
      state->second.drained.erase(database), state->second.rations.erase(database);
}

std::string ControlState::applyEnrolment(const EnrolmentUpdate& update) {
  if (listed(update.service)) return "the service's databases are listed";
  if (departed_.contains(update.database)) return "it left for good";
  std::vector<std::pair<ServiceName, DatabaseName>> former;
  for (const auto& [service, databases] : enrolled_)
    for (const auto& [name, database] : databases)
      if (database.address == update.address && (service != update.service || name != update.database)) former.emplace_back(service, name);
  for (const auto& [service, name] : former) leave(service, name);
  endAwaiting(update.address);
  touch(update.service);
  enrolled_[update.service][update.database] = EnrolledDatabase{update.address, update.zone, update.capacity};
  return "held";
}

std::string ControlState::removeDatabase(const DatabaseUpdate& update) {
  if (!enrolled(update.service, update.database)) return "no such database";
  auto* served = known(update.service);
  if (served && services_.contains(update.service) && served->primary == update.database) return "it is the primary";
  if (served) awaitSuccessor(*served, update.service, update.database);
  leave(update.service, update.database);
  return "held";
}

std::string ControlState::applyRecovery(const RecoveryUpdate& update) {
  auto service = services_.find(update.service);
  if (service == services_.end() || service->second.epoch != update.oldEpoch) return "other epoch";
  if (!databases(update.service).contains(update.chosen)) return "no such database";
  touch(update.service);
  auto& state = service->second;
  state.epoch = Epoch{state.epoch.get() + 1};
  state.primary = update.chosen;
  state.promoted = false;
  state.planned = update.planned;
  state.chosenTerm = update.chosenTerm;
  return "held";
}

std::string ControlState::applyPromoted(const PromotedUpdate& update) {
  auto service = services_.find(update.service);
  if (service == services_.end() || service->second.epoch != update.epoch) return "other epoch";
  touch(update.service);
  service->second.promoted = true;
  service->second.servedBy = service->second.primary;
  service->second.ledTerm = std::max(service->second.ledTerm, update.term);
  service->second.awaitedSuccessors.clear();
  return "held";
}

std::string ControlState::applyShares(const SharesUpdate& update) {
  auto service = services_.find(update.service);
  if (service == services_.end() || service->second.sharesAt != update.basis) return "other basis";
  const auto& branches = plan_->services.at(update.service).branches;
  std::map<BranchName, std::uint64_t> sums;
  for (const auto& shares : {update.grants, update.reserved})
    for (const auto& [node, grants] : shares)
      for (const auto& [branch, amount] : grants) {
        if (!branches.contains(branch)) return "no such branch";
        if ((sums[branch] += amount) > branches.at(branch).connections) return "over the branch";
      }
  auto& reserved = service->second.reserved;
  std::erase_if(reserved, [&](const auto& each) {
    return !update.reserved.contains(each.first);
  });
  for (const auto& [node, most] : update.reserved)
    if (auto [held, fresh] = reserved.try_emplace(node, ReservedShare{position_, update.basis, most}); !fresh) held->second.most = most;
  if (service->second.grants == update.grants) return "held";
  touch(update.service);
  service->second.grants = update.grants;
  service->second.sharesAt = position_;
  return "held";
}

std::string ControlState::applyRation(const RationUpdate& update) {
  auto service = services_.find(update.service);
  if (service == services_.end() || !databases(update.service).contains(update.database)) return "no such database";
  touch(update.service);
  if (update.ration)
    service->second.rations[update.database] = *update.ration;
  else
    service->second.rations.erase(update.database);
  return "held";
}

std::string ControlState::applyNode(const NodeUpdate& update, bool draining) {
  if (draining) {
    auto found = nodes_.find(update.node);
    if (found == nodes_.end() || found->second.boot != update.boot) return "other boot";
    found->second.draining = true;
    touchedNodes_.insert(update.node);
    return "held";
  }
  touchedNodes_.insert(update.node);
  nodes_[update.node] = NodeState{update.zone, update.boot, false, position_};
  return "held";
}

std::string ControlState::removeNode(const NodeUpdate& update) {
  auto found = nodes_.find(update.node);
  if (found == nodes_.end() || found->second.boot != update.boot) return "other boot";
  for (const auto& [name, service] : services_)
    if (service.holds(update.node)) return "holds shares";
  nodes_.erase(found);
  touchedNodes_.insert(update.node);
  return "held";
}

struct ControlSnapshot {
  std::string planText;
  std::map<ServiceName, ServiceState> services;
  std::map<Address, NodeState> nodes;
  std::uint64_t dutyEpoch = 0;
  std::uint64_t position = 0;
  std::map<ServiceName, ServiceState> retired;
  std::map<ServiceName, EnrolledDatabases> enrolled;
  // where in the green order each topic changed last; the same at all replicas
  std::map<Topic, std::uint64_t> marks;
  VersionLedger versions;
  DepartedDatabases departed;
  MSGPACK_DEFINE(planText, services, nodes, dutyEpoch, position, retired, enrolled, marks, versions, departed)
};

std::string ControlState::snapshot() const {
  std::map<Topic, std::uint64_t> marks;
  for (const auto& [topic, entry] : board_.entries()) marks[topic] = entry->mark;
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
  // a snapshot of an earlier program has no ledger; the configuration in force is known at least
  if (plan_ && versions_.size() == 0) versions_.note(plan_->mark, contentDigest(planText_), true);
  dutyEpoch_ = restored->dutyEpoch;
  position_ = restored->position;
  if (restored->marks.empty() && !plan_ && nodes_.empty()) return true;
  touchAll();
  for (const auto& [topic, mark] : restored->marks) touched_.insert(topic);
  for (const auto& topic : touched_) {
    auto mark = restored->marks.find(topic);
    board_.restore(topic, mark == restored->marks.end() ? position_ : mark->second, news(topic));
  }
  touched_.clear();
  touchedNodes_.clear();
  return true;
}

}  // namespace tamarindshift

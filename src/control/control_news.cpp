#include "control/control_state.hpp"
#include "control/plan_news.hpp"

#include <algorithm>

// How the replicated state is published as news to the nodes.

namespace tamarindshift {

void ControlState::touchAll() {
  touched_.insert(fleetTopic);
  for (const auto& [topic, entry] : board_.topics()) touched_.insert(topic);
  if (!plan_) return;
  for (const auto& [name, service] : plan_->services) touch(name);
}

std::string ControlState::nodeNews(const Address& address, const NodeState& node) const {
  NodeNews news{node.zone, node.draining, {}, node.boot, node.enrolledAt};
  if (plan_)
    if (auto machine = plan_->machines.find(address); machine != plan_->machines.end()) news.labels = machine->second;
  return packed(news);
}

// what changes of one node costs one entry, however many routes the fleet's news hold
void ControlState::publishNodes() {
  std::vector<TopicChange> changes;
  for (const auto& address : touchedNodes_) {
    auto node = nodes_.find(address);
    bool gone = node == nodes_.end();
    changes.push_back(TopicChange{position_, nodePrefix + address.get(), gone, gone ? std::string{} : nodeNews(address, node->second)});
  }
  touchedNodes_.clear();
  if (!changes.empty()) board_.publishChanges(fleetTopic, position_, std::move(changes));
}

TopicTable ControlState::fleetNews() const {
  TopicTable fleet;
  for (const auto& [address, node] : nodes_) fleet[nodePrefix + address.get()] = nodeNews(address, node);
  FleetPlanNews fleetPlan;
  if (plan_) {
    fleetPlan.mark = plan_->mark;
    fleetPlan.limits = plan_->limits;
    for (const auto& [name, kind] : plan_->kinds) fleetPlan.kinds[name] = kind.service;
  }
  layPlan(fleet, fleetPlan);
  return fleet;
}

TopicTable ControlState::news(const Topic& topic) const {
  if (topic == fleetTopic) return fleetNews();
  ServiceName name{topic};
  const auto* service = planned(name);
  return service ? serviceNews(name, *service) : TopicTable{};
}

void ControlState::publish() {
  if (touched_.contains(fleetTopic)) touchedNodes_.clear();
  publishNodes();
  for (const auto& topic : touched_)
    if (topic == fleetTopic || planned(ServiceName{topic}) || board_.find(topic)) board_.publish(topic, position_, news(topic));
  touched_.clear();
}

TopicTable ControlState::serviceNews(const ServiceName& name, const PlanService& service) const {
  const auto& state = services_.at(name);
  TopicTable table;
  ServiceNews news{plan_->mark, service, {}};
  for (const auto& [kindName, kind] : plan_->kinds)
    if (kind.service == name) news.kinds.emplace(kindName, kind);
  layPlan(table, news);
  table["primary"] = packed(PrimaryNews{state.epoch, state.primary, state.promoted, state.planned});
  if (service.discovered)
    for (const auto& [database, own] : databases(name))
      table["database/" + database.get()] = packed(DatabaseNews{own.address, own.zone, own.capacity});
  for (const auto& [database, ration] : state.rations) table["ration/" + database.get()] = packed(ration);
  for (const auto& [database, mark] : state.drained) table["drained/" + database.get()] = packed(mark);
  for (const auto& [node, branches] : state.grants) table[sharePrefix + node.get()] = packed(ShareNews{branches});
  return table;
}

}  // namespace tamarindshift

#include "control/control_state.hpp"
#include "control/plan_entries.hpp"

#include <algorithm>

// Publishes the replicated state as topic tables to the nodes.

namespace tamarindshift {

void ControlState::markAllChanged() {
  changedTopics_.insert(fleetTopic);
  for (const auto& [topic, entry] : updateStore_.topics()) changedTopics_.insert(topic);
  if (!plan_) return;
  for (const auto& [name, service] : plan_->services) markChanged(name);
}

std::string ControlState::publishedNode(const Address& address, const NodeState& node) const {
  PublishedNode published{node.zone, node.draining, {}, node.boot, node.enrolledAt};
  if (plan_)
    if (auto machine = plan_->machines.find(address); machine != plan_->machines.end()) published.labels = machine->second;
  return packed(published);
}

// A change of one node is published as one entry, so that its cost does not depend on the size of the fleet's table.
void ControlState::publishNodeChanges() {
  std::vector<TopicChange> changes;
  for (const auto& address : changedNodes_) {
    auto node = nodes_.find(address);
    bool removed = node == nodes_.end();
    changes.push_back(
        TopicChange{position_, nodePrefix + address.get(), removed, removed ? std::string{} : publishedNode(address, node->second)});
  }
  changedNodes_.clear();
  if (!changes.empty()) updateStore_.publishChanges(fleetTopic, position_, std::move(changes));
}

TopicTable ControlState::fleetTable() const {
  TopicTable fleet;
  for (const auto& [address, node] : nodes_) fleet[nodePrefix + address.get()] = publishedNode(address, node);
  PublishedFleetPlan fleetPlan;
  if (plan_) {
    fleetPlan.mark = plan_->mark;
    fleetPlan.limits = plan_->limits;
    for (const auto& [name, kind] : plan_->kinds) fleetPlan.kinds[name] = kind.service;
  }
  writePlanEntries(fleet, fleetPlan);
  return fleet;
}

TopicTable ControlState::topicTable(const Topic& topic) const {
  if (topic == fleetTopic) return fleetTable();
  ServiceName name{topic};
  const auto* service = plannedService(name);
  return service ? serviceTable(name, *service) : TopicTable{};
}

void ControlState::publish() {
  if (changedTopics_.contains(fleetTopic)) changedNodes_.clear();
  publishNodeChanges();
  for (const auto& topic : changedTopics_)
    if (topic == fleetTopic || plannedService(ServiceName{topic}) || updateStore_.find(topic))
      updateStore_.publish(topic, position_, topicTable(topic));
  changedTopics_.clear();
}

TopicTable ControlState::serviceTable(const ServiceName& name, const PlanService& service) const {
  const auto& state = services_.at(name);
  TopicTable table;
  PublishedServicePlan servicePlan{plan_->mark, service, {}};
  for (const auto& [kindName, kind] : plan_->kinds)
    if (kind.service == name) servicePlan.kinds.emplace(kindName, kind);
  writePlanEntries(table, servicePlan);
  table["primary"] = packed(PublishedPrimary{state.epoch, state.primary, state.promoted, state.plannedSwitchover});
  if (service.discovered)
    for (const auto& [database, own] : databases(name))
      table["database/" + database.get()] = packed(PublishedDatabase{own.address, own.zone, own.capacity});
  for (const auto& [database, ration] : state.rations) table["ration/" + database.get()] = packed(ration);
  for (const auto& [database, mark] : state.drained) table["drained/" + database.get()] = packed(mark);
  for (const auto& [node, branches] : state.grants) table[sharePrefix + node.get()] = packed(PublishedShare{branches});
  return table;
}

}  // namespace tamarindshift

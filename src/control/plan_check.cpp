#include "control/plan_check.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace tamarindshift {

namespace {

using Json = nlohmann::json;

template <class Key, class Value, class Same>
void compare(const std::string& what, const std::map<Key, Value>& before, const std::map<Key, Value>& after, PlanCheck& check, Same same) {
  for (const auto& [name, value] : after) {
    auto found = before.find(name);
    if (found == before.end())
      check.changes.push_back("adds " + what + " " + name.get());
    else if (!same(found->second, value))
      check.changes.push_back("alters " + what + " " + name.get());
  }
  for (const auto& [name, value] : before)
    if (!after.contains(name)) check.changes.push_back("removes " + what + " " + name.get());
}

void compareWithCurrent(const Plan& plan, const Plan& current, PlanCheck& check) {
  auto same = [](const auto& left, const auto& right) {
    return packed(left) == packed(right);
  };
  compare("service", current.services, plan.services, check, same);
  compare("kind", current.kinds, plan.kinds, check, same);
  compare("machine", current.machines, plan.machines, check, same);
  if (plan.mark < current.mark)
    check.errors.push_back("mark " + std::to_string(plan.mark.get()) + " is older than the held " + std::to_string(current.mark.get()));
  if (plan.mark == current.mark && !check.changes.empty())
    check.errors.push_back("mark " + std::to_string(plan.mark.get()) + " is held with other content");
}

void compareWithFleet(const Plan& plan, const Json& status, PlanCheck& check) {
  auto nodes = status.value("nodes", Json::object());
  for (const auto& [address, labels] : plan.machines)
    if (!nodes.contains(address.get())) check.warnings.push_back("machine " + address.get() + " is not in the fleet");
  auto selects = [&](const std::set<Label>& selector) {
    if (selector.empty()) return !nodes.empty();
    return std::any_of(plan.machines.begin(), plan.machines.end(), [&](const auto& machine) {
      return nodes.contains(machine.first.get()) &&
             std::includes(machine.second.begin(), machine.second.end(), selector.begin(), selector.end());
    });
  };
  for (const auto& [name, kind] : plan.kinds)
    if (!selects(kind.machines)) check.errors.push_back("kind " + name.get() + " selects no machine of the fleet");
  auto nodesInService = std::count_if(nodes.begin(), nodes.end(), [](const Json& node) {
    return !node.value("draining", false);
  });
  for (const auto& [name, service] : plan.services) {
    for (const auto& [branchName, branch] : service.branches) {
      auto path = name.get() + "/" + branchName.get();
      if (branch.connections < static_cast<std::uint32_t>(nodesInService))
        check.errors.push_back("branch " + path + " has " + std::to_string(branch.connections) + " connections for " +
                               std::to_string(nodesInService) + " machines");
      if (branch.floor * static_cast<std::uint64_t>(nodesInService) > branch.connections)
        check.warnings.push_back("branch " + path + " cannot give its floor to " + std::to_string(nodesInService) + " machines");
    }
    auto known = status.value("services", Json::object()).value(name.get(), Json::object());
    auto databases = known.value("databases", Json::object());
    for (const auto& [databaseName, database] : service.databases)
      if (!databases.contains(databaseName.get()))
        check.warnings.push_back("database " + name.get() + "/" + databaseName.get() + " has sent no heartbeat");
    auto primary = known.value("primary", "");
    if (!primary.empty() && !service.discovered && !service.databases.contains(DatabaseName{primary}))
      check.warnings.push_back("the primary " + name.get() + "/" + primary + " is not in the plan and would be replaced");
  }
}

}  // namespace

PlanCheck checkPlan(const Plan& plan, const std::optional<Plan>& current, const Json& status) {
  PlanCheck check;
  if (current)
    compareWithCurrent(plan, *current, check);
  else
    check.changes.push_back("is the first plan");
  if (status.is_object()) compareWithFleet(plan, status, check);
  return check;
}

}  // namespace tamarindshift

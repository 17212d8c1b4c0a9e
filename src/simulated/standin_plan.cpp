#include "simulated/standin_plan.hpp"

#include <nlohmann/json.hpp>

namespace tamarindshift {

std::string standinPlan(const FleetShape& shape, const std::vector<StandinDatabaseSettings>& databases, const StandinPlanChoice& choice) {
  nlohmann::json plan;
  plan["mark"] = choice.mark;
  auto connections = choice.connections.value_or(shape.connections);
  for (const auto& [machine, label] : choice.labelOfMachine) plan["machines"][machine] = {label};
  for (std::size_t service = 1; service <= shape.services; ++service) {
    auto number = std::to_string(service);
    if (choice.withoutServices.contains("s" + number)) continue;
    auto& own = plan["services"]["s" + number];
    if (shape.discovered) own = {{"discovery", "heartbeats"}, {"sync-replicas", shape.syncReplicas}};
    for (const auto& database : databases) {
      if (shape.discovered) break;
      auto name = database.service.get() + "." + database.name.get();
      if (database.service.get() != "s" + number || choice.withoutDatabases.contains(name)) continue;
      auto& planned = own["databases"][database.name.get()];
      planned = {{"address", database.address.get()}, {"cap", shape.cap}};
      if (auto label = choice.labelOfDatabase.find(name); label != choice.labelOfDatabase.end()) planned["labels"] = {label->second};
    }
    auto first = connections * choice.firstPart / 100;
    own["quota"]["connections"] = connections;
    own["quota"]["branches"]["first"] = {{"connections", first}, {"order", 1}, {"floor", 1}};
    own["quota"]["branches"]["low"] = {{"connections", connections - first}, {"order", 2}};
    auto kind = [&](const std::string& name, const std::string& branch, const std::string& consistency) {
      if (choice.withoutKinds.contains(name)) return;
      auto moved = choice.branchOfKind.find(name);
      auto& made = plan["kinds"][name];
      made = {
          {"service", "s" + number}, {"branch", moved == choice.branchOfKind.end() ? branch : moved->second}, {"consistency", consistency}};
      if (auto label = choice.machinesOfKind.find(name); label != choice.machinesOfKind.end()) made["machines"] = {label->second};
      if (auto label = choice.databasesOfKind.find(name); label != choice.databasesOfKind.end()) made["databases"] = {label->second};
    };
    kind("counter" + number, "first", "primary");
    kind("lookup" + number, "low", "lookups");
    kind("status" + number, "low", "status");
  }
  return plan.dump();
}

}  // namespace tamarindshift

#include "simulated/standin_plan.hpp"

#include <nlohmann/json.hpp>

namespace tamarindshift {

std::string standinPlan(const FleetShape& shape, const std::vector<StandinDatabaseSettings>& databases, std::uint64_t mark,
                        const std::set<std::string>& without, std::uint32_t firstPart) {
  nlohmann::json plan;
  plan["mark"] = mark;
  for (std::size_t service = 1; service <= shape.services; ++service) {
    auto number = std::to_string(service);
    auto& own = plan["services"]["s" + number];
    for (const auto& database : databases)
      if (database.service.get() == "s" + number)
        own["databases"][database.name.get()] = {{"address", database.address.get()}, {"cap", shape.cap}};
    auto first = shape.connections * firstPart / 100;
    own["quota"]["connections"] = shape.connections;
    own["quota"]["branches"]["first"] = {{"connections", first}, {"order", 1}, {"floor", 1}};
    own["quota"]["branches"]["low"] = {{"connections", shape.connections - first}, {"order", 2}};
    auto kind = [&](const std::string& name, const std::string& branch, const std::string& consistency) {
      if (!without.contains(name)) plan["kinds"][name] = {{"service", "s" + number}, {"branch", branch}, {"consistency", consistency}};
    };
    kind("counter" + number, "first", "primary");
    kind("lookup" + number, "low", "lookups");
    kind("status" + number, "low", "status");
  }
  return plan.dump();
}

}  // namespace tamarindshift

#pragma once

#include "simulated/fleet_shape.hpp"
#include "simulated/standin_database.hpp"

namespace tamarindshift {

struct StandinPlanChoice {
  explicit StandinPlanChoice(std::uint64_t mark = 1, std::uint32_t firstPart = 60) : mark(mark), firstPart(firstPart) {}
  std::uint64_t mark;
  std::set<std::string> withoutKinds;
  std::set<std::string> withoutServices;
  std::set<std::string> withoutDatabases;
  std::uint32_t firstPart;
  std::optional<std::uint32_t> connections;
  std::map<std::string, std::string> branchOfKind;
  std::map<std::string, std::string> machinesOfKind;
  std::map<std::string, std::string> databasesOfKind;
  std::map<std::string, std::string> labelOfMachine;
  std::map<std::string, std::string> labelOfDatabase;
};

std::string standinPlan(const FleetShape& shape, const std::vector<StandinDatabaseSettings>& databases, const StandinPlanChoice& choice);

}  // namespace tamarindshift

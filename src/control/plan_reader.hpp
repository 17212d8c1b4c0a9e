#pragma once

// Parser and validation of plans.

#include <optional>
#include <vector>

#include <boost/property_tree/ptree_fwd.hpp>
#include <nlohmann/json_fwd.hpp>

#include "control/plan.hpp"
#include "control/plan_fault.hpp"

namespace tamarindshift {

/// Parses and validates a plan.
class PlanReader {
 public:
  /// Room for about 20,000 routes.
  static constexpr std::size_t maxBytes = 16u << 20;
  static constexpr std::size_t maxAnnotationBytes = 6u << 20;
  /// Nesting of the JSON text.
  static constexpr int maxDepth = 32;

  /// The plan, or nothing if it has faults.
  std::optional<Plan> read(const std::string& text);
  /// The faults of the last plan read.
  const std::vector<PlanFault>& faults() const { return faults_; }

 private:
  using Tree = boost::property_tree::ptree;
  void fault(const std::string& path, const std::string& reason) { faults_.push_back(PlanFault{path, reason}); }
  // Checks that each scalar has the JSON type of its key; the property tree would accept numbers given as strings.
  void checkScalarTypes(const nlohmann::json& json, const std::string& path);
  // Checks that an object has all required keys, no unknown ones and none twice.
  bool checkKeys(const Tree& tree, const std::string& path, const std::set<std::string>& required, const std::set<std::string>& optional);
  std::uint32_t number(const Tree& tree, const std::string& path, std::uint32_t min, std::uint32_t max);
  std::uint64_t longNumber(const Tree& tree, const std::string& path, std::uint64_t min);
  // An optional number of milliseconds.
  std::optional<Duration> duration(const Tree& tree, const std::string& key, const std::string& path, std::uint64_t min);
  // An optional text without control characters.
  std::string lineOfText(const Tree& tree, const std::string& key, const std::string& path);
  std::string name(const std::string& text, const std::string& path, std::size_t maxLength = 64);
  std::set<Label> labels(const Tree& tree, const std::string& path);
  void readDatabases(const Tree& tree, const std::string& path, PlanService& service);
  PlanService service(const Tree& tree, const std::string& path);
  // Reads a branch and those below it; the leaves are added to the service.
  void readBranch(const Tree& tree, const std::string& path, std::uint32_t order, std::uint32_t depth, std::set<std::string>& seen,
                  PlanService& service);
  PlanKind kind(const Tree& tree, const std::string& path);
  // Assigns kinds that name no branch to the one branch that takes their labels.
  void assignBranches(Plan& plan);
  // Checks references between the parts of the plan.
  void checkReferences(const Plan& plan);
  // Checks that no two kinds have the same host and prefix.
  void checkHostsDistinct(const Plan& plan);

  std::vector<PlanFault> faults_;
};

}  // namespace tamarindshift

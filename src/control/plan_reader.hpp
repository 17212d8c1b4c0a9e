#pragma once

#include <optional>
#include <vector>

#include <boost/property_tree/ptree_fwd.hpp>
#include <nlohmann/json_fwd.hpp>

#include "control/plan.hpp"
#include "control/plan_fault.hpp"

namespace tamarindshift {

class PlanReader {
 public:
  // room for some 20,000 routes
  static constexpr std::size_t maxBytes = 16u << 20;
  static constexpr std::size_t maxAnnotationBytes = 6u << 20;
  static constexpr int maxDepth = 32;

  std::optional<Plan> read(const std::string& text);
  const std::vector<PlanFault>& faults() const { return faults_; }

 private:
  using Tree = boost::property_tree::ptree;
  void fault(const std::string& path, const std::string& reason) { faults_.push_back(PlanFault{path, reason}); }
  void scalarTypes(const nlohmann::json& json, const std::string& path);
  bool keys(const Tree& tree, const std::string& path, const std::set<std::string>& required, const std::set<std::string>& optional);
  std::uint32_t number(const Tree& tree, const std::string& path, std::uint32_t least, std::uint32_t most);
  std::uint64_t longNumber(const Tree& tree, const std::string& path, std::uint64_t least);
  std::optional<Duration> duration(const Tree& tree, const std::string& key, const std::string& path, std::uint64_t least);
  std::string line(const Tree& tree, const std::string& key, const std::string& path);
  std::string name(const std::string& text, const std::string& path, std::size_t most = 64);
  std::set<Label> labels(const Tree& tree, const std::string& path);
  void listed(const Tree& tree, const std::string& path, PlanService& service);
  PlanService service(const Tree& tree, const std::string& path);
  void branch(const Tree& tree, const std::string& path, std::uint32_t order, std::uint32_t depth, std::set<std::string>& seen,
              PlanService& service);
  PlanKind kind(const Tree& tree, const std::string& path);
  void placeKinds(Plan& plan);
  void crossCheck(const Plan& plan);
  void hostsApart(const Plan& plan);

  std::vector<PlanFault> faults_;
};

}  // namespace tamarindshift

#include "control/plan_reader.hpp"

#include <algorithm>
#include <charconv>
#include <sstream>

#include <boost/property_tree/json_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <nlohmann/json.hpp>

namespace tamarindshift {

namespace {

// Former value of `discovery`; plans in stored logs and operators' files still have it.
constexpr const char* formerDiscoveryValue = "beats";

}  // namespace

std::optional<Plan> PlanReader::read(const std::string& text) {
  faults_.clear();
  if (text.size() > maxBytes) {
    fault("", "larger than " + std::to_string(maxBytes) + " bytes");
    return std::nullopt;
  }
  Tree tree;
  bool tooDeep = false;
  auto json = nlohmann::json::parse(
      text,
      [&](int depth, auto, auto&) {
        tooDeep = tooDeep || depth > maxDepth;
        return !tooDeep;
      },
      false);
  if (tooDeep || json.is_discarded()) {
    fault("", tooDeep ? "nested too deep" : "not JSON");
    return std::nullopt;
  }
  checkScalarTypes(json, "");
  for (const char* key : {"services", "kinds", "limits"})
    if (json.is_object() && json.contains(key) && !json[key].is_object()) fault(key, "must be an object");
  if (!faults_.empty()) return std::nullopt;
  try {
    std::istringstream stream(text);
    boost::property_tree::read_json(stream, tree);
  } catch (const boost::property_tree::json_parser_error& error) {
    fault("", "not JSON: " + error.message());
    return std::nullopt;
  }
  Plan plan;
  if (!checkKeys(tree, "", {"mark", "services", "kinds"}, {"machines", "weights", "limits", "annotation"})) return std::nullopt;
  plan.mark = PlanVersion{longNumber(tree.get_child("mark"), "mark", 1)};
  plan.annotation = tree.get<std::string>("annotation", "");
  if (plan.annotation.size() > maxAnnotationBytes) fault("annotation", "larger than " + std::to_string(maxAnnotationBytes) + " bytes");
  if (auto limits = tree.get_child_optional("limits"))
    for (const auto& [key, child] : *limits) {
      auto path = "limits." + key;
      if (!plan.limits.emplace(name(key, path), longNumber(child, path, 0)).second) fault(path, "duplicate name");
    }
  for (const auto& [key, child] : tree.get_child("services")) {
    auto path = "services." + key;
    if (!plan.services.emplace(ServiceName{name(key, path)}, service(child, path)).second) fault(path, "duplicate name");
  }
  for (const auto& [key, child] : tree.get_child("kinds")) {
    auto path = "kinds." + key;
    if (!plan.kinds.emplace(KindName{name(key, path, 128)}, kind(child, path)).second) fault(path, "duplicate name");
  }
  if (auto machines = tree.get_child_optional("machines"))
    for (const auto& [key, child] : *machines) {
      auto path = "machines." + key;
      if (!splitAddress(Address{key})) fault(path, "must be an address of the form ip:port");
      if (!plan.machines.emplace(Address{key}, labels(child, path)).second) fault(path, "duplicate name");
    }
  if (auto weights = tree.get_child_optional("weights"))
    for (const auto& [key, child] : *weights) {
      auto path = "weights." + key;
      if (!plan.weights.emplace(Label{name(key, path)}, number(child, path, 1, 1000)).second) fault(path, "duplicate name");
    }
  if (faults_.empty()) assignBranches(plan);
  if (faults_.empty()) checkReferences(plan);
  if (faults_.empty()) checkHostsDistinct(plan);
  if (!faults_.empty()) return std::nullopt;
  return plan;
}

void PlanReader::checkScalarTypes(const nlohmann::json& json, const std::string& path) {
  static const std::set<std::string> numbers{"mark",          "cap",          "connections",  "order", "floor",
                                             "sync-replicas", "staleness-ms", "statement-ms", "aim-ms"};
  auto isNumber = [&](const std::string& key) {
    return numbers.contains(key) || path == "weights" || path == "limits";
  };
  if (json.is_array())
    for (const auto& child : json) child.is_string() ? void() : fault(path, "must be a list of strings");
  if (!json.is_object()) return;
  for (const auto& [key, child] : json.items()) {
    auto own = path.empty() ? key : path + "." + key;
    if (child.is_structured())
      checkScalarTypes(child, own);
    else if (isNumber(key) && !child.is_number_integer())
      fault(own, "must be a whole number");
    else if (!isNumber(key) && !child.is_string())
      fault(own, "must be a string, a list or an object");
  }
}

bool PlanReader::checkKeys(const Tree& tree, const std::string& path, const std::set<std::string>& required,
                           const std::set<std::string>& optional) {
  auto before = faults_.size();
  auto dot = path.empty() ? "" : path + ".";
  if (tree.empty()) fault(path, "must be an object");
  std::set<std::string> seen;
  for (const auto& [key, child] : tree) {
    if (!required.contains(key) && !optional.contains(key)) fault(dot + key, "unknown key");
    if (!seen.insert(key).second) fault(dot + key, "duplicate key");
  }
  for (const auto& key : required)
    if (!seen.contains(key)) fault(dot + key, "missing");
  return faults_.size() == before;
}

std::uint32_t PlanReader::number(const Tree& tree, const std::string& path, std::uint32_t min, std::uint32_t max) {
  const auto& text = tree.data();
  std::uint32_t value = 0;
  auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (!tree.empty() || error != std::errc{} || stop != text.data() + text.size() || value < min || value > max) {
    fault(path, "must be a whole number from " + std::to_string(min) + " to " + std::to_string(max));
    return min;
  }
  return value;
}

std::uint64_t PlanReader::longNumber(const Tree& tree, const std::string& path, std::uint64_t min) {
  const auto& text = tree.data();
  std::uint64_t value = 0;
  auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (!tree.empty() || error != std::errc{} || stop != text.data() + text.size() || value < min)
    fault(path, "must be a whole number from " + std::to_string(min));
  return value;
}

std::optional<Duration> PlanReader::duration(const Tree& tree, const std::string& key, const std::string& path, std::uint64_t min) {
  static constexpr std::uint64_t maxMilliseconds = 1'000'000'000;
  auto given = tree.get_child_optional(key);
  if (!given) return std::nullopt;
  auto own = path + "." + key;
  auto value = longNumber(*given, own, min);
  if (value > maxMilliseconds) fault(own, "must be at most " + std::to_string(maxMilliseconds));
  return std::chrono::milliseconds{std::min(value, maxMilliseconds)};
}

std::string PlanReader::lineOfText(const Tree& tree, const std::string& key, const std::string& path) {
  auto text = tree.get<std::string>(key, "");
  bool plain = text.size() <= 256 && std::none_of(text.begin(), text.end(), [](unsigned char letter) {
                 return std::iscntrl(letter);
               });
  if (!plain) fault(path + "." + key, "must be at most 256 letters on one line");
  return text;
}

std::string PlanReader::name(const std::string& text, const std::string& path, std::size_t maxLength) {
  bool plain = !text.empty() && text.size() <= maxLength && std::all_of(text.begin(), text.end(), [](unsigned char letter) {
    return std::isalnum(letter) || letter == '-' || letter == '_' || letter == '.';
  });
  if (!plain) fault(path, "a name has 1 to " + std::to_string(maxLength) + " letters, digits, '-', '_' or '.'");
  return text;
}

std::set<Label> PlanReader::labels(const Tree& tree, const std::string& path) {
  std::set<Label> read;
  if (!tree.data().empty()) fault(path, "must be a list of labels");
  for (const auto& [key, child] : tree) {
    if (!key.empty() || !child.empty()) {
      fault(path, "must be a list of labels");
      continue;
    }
    if (!read.insert(Label{name(child.data(), path)}).second) fault(path, "duplicate label " + child.data());
  }
  return read;
}

void PlanReader::readDatabases(const Tree& tree, const std::string& path, PlanService& service) {
  for (const auto& [key, child] : tree.get_child("databases")) {
    auto own = path + ".databases." + key;
    PlanDatabase database;
    if (!checkKeys(child, own, {"address", "cap"}, {"labels"})) continue;
    database.address = Address{child.get<std::string>("address")};
    if (!splitAddress(database.address)) fault(own + ".address", "must be of the form ip:port");
    database.cap = number(child.get_child("cap"), own + ".cap", 1, 100000);
    if (auto given = child.get_child_optional("labels")) database.labels = labels(*given, own + ".labels");
    if (!service.databases.emplace(DatabaseName{name(key, own)}, database).second) fault(own, "duplicate name");
  }
  if (service.databases.empty()) fault(path + ".databases", "must name at least one database");
}

PlanService PlanReader::service(const Tree& tree, const std::string& path) {
  PlanService service;
  if (!checkKeys(tree, path, {"quota"}, {"databases", "discovery", "sync-replicas"})) return service;
  auto discovery = tree.get_child_optional("discovery");
  service.discovered = discovery.has_value();
  if (discovery && discovery->data() != "heartbeats" && discovery->data() != formerDiscoveryValue)
    fault(path + ".discovery", "must be heartbeats");
  if (discovery.has_value() == tree.get_child_optional("databases").has_value())
    fault(path + ".databases", "a service has databases or discovery, one of them");
  else if (!discovery)
    readDatabases(tree, path, service);
  if (auto given = tree.get_child_optional("sync-replicas")) service.syncReplicas = number(*given, path + ".sync-replicas", 0, 100);
  const auto& quota = tree.get_child("quota");
  if (!checkKeys(quota, path + ".quota", {"connections", "branches"}, {})) return service;
  service.connections = number(quota.get_child("connections"), path + ".quota.connections", 1, 100000);
  for (const auto& [database, own] : service.databases)
    if (own.cap < service.connections) fault(path + ".quota.connections", "more than the cap of database " + database.get());
  std::set<std::string> seen;
  std::uint32_t sum = 0;
  for (const auto& [key, child] : quota.get_child("branches")) {
    auto own = path + ".quota.branches." + key;
    name(key, own);
    if (!seen.insert(key).second) fault(own, "duplicate name");
    readBranch(child, own, 0, 1, seen, service);
    sum += child.get<std::uint32_t>("connections", 0);
  }
  if (seen.empty()) fault(path + ".quota.branches", "must name at least one branch");
  if (sum > service.connections) fault(path + ".quota.branches", "children exceed the parent");
  return service;
}

void PlanReader::readBranch(const Tree& tree, const std::string& path, std::uint32_t order, std::uint32_t depth,
                            std::set<std::string>& seen, PlanService& service) {
  if (depth > 8) return fault(path, "the tree is deeper than 8");
  if (!checkKeys(tree, path, {"connections"}, {"order", "floor", "takes", "branches"})) return;
  PlanBranch own;
  own.connections = number(tree.get_child("connections"), path + ".connections", 1, 100000);
  own.order = order;
  if (auto given = tree.get_child_optional("order")) own.order = number(*given, path + ".order", 1, 1000);
  if (auto given = tree.get_child_optional("floor")) own.floor = number(*given, path + ".floor", 0, 100000);
  if (auto given = tree.get_child_optional("takes")) own.takes = labels(*given, path + ".takes");
  if (own.floor > own.connections) fault(path + ".floor", "more than the branch's connections");
  auto children = tree.get_child_optional("branches");
  if (!children) {
    auto leaf = path.substr(path.rfind('.') + 1);
    service.branches.emplace(BranchName{leaf}, own);
    return;
  }
  std::uint32_t sum = 0;
  for (const auto& [key, child] : *children) {
    auto inner = path + ".branches." + key;
    name(key, inner);
    if (!seen.insert(key).second) fault(inner, "duplicate name");
    readBranch(child, inner, own.order, depth + 1, seen, service);
    sum += child.get<std::uint32_t>("connections", 0);
  }
  if (children->empty()) fault(path + ".branches", "must name at least one branch");
  if (sum > own.connections) fault(path + ".branches", "children exceed the parent");
}

PlanKind PlanReader::kind(const Tree& tree, const std::string& path) {
  PlanKind kind;
  if (!checkKeys(tree, path, {"service", "consistency"},
                 {"branch", "machines", "databases", "labels", "staleness-ms", "statement-ms", "aim-ms", "order", "host", "prefix"}))
    return kind;
  kind.service = ServiceName{tree.get<std::string>("service")};
  kind.branch = BranchName{tree.get<std::string>("branch", "")};
  if (auto given = tree.get_child_optional("labels")) kind.labels = labels(*given, path + ".labels");
  kind.staleness = duration(tree, "staleness-ms", path, 0);
  kind.statementTimeout = duration(tree, "statement-ms", path, 1);
  kind.targetLatency = duration(tree, "aim-ms", path, 1);
  if (auto given = tree.get_child_optional("order")) kind.order = number(*given, path + ".order", 0, 1000);
  kind.host = lineOfText(tree, "host", path);
  kind.prefix = lineOfText(tree, "prefix", path);
  auto consistency = tree.get<std::string>("consistency");
  if (consistency == "primary")
    kind.consistency = Consistency::primary;
  else if (consistency == "lookups")
    kind.consistency = Consistency::lookups;
  else if (consistency == "status")
    kind.consistency = Consistency::status;
  else
    fault(path + ".consistency", "must be primary, lookups or status");
  if (auto given = tree.get_child_optional("machines")) kind.machines = labels(*given, path + ".machines");
  if (auto given = tree.get_child_optional("databases")) kind.databases = labels(*given, path + ".databases");
  return kind;
}

void PlanReader::assignBranches(Plan& plan) {
  for (auto& [kindName, kind] : plan.kinds) {
    auto service = plan.services.find(kind.service);
    if (service == plan.services.end() || !kind.branch.get().empty()) continue;
    std::vector<BranchName> matching;
    for (const auto& [name, branch] : service->second.branches)
      if (!branch.takes.empty() && std::includes(kind.labels.begin(), kind.labels.end(), branch.takes.begin(), branch.takes.end()))
        matching.push_back(name);
    if (matching.size() == 1)
      kind.branch = matching.front();
    else
      fault("kinds." + kindName.get() + ".branch",
            matching.empty() ? "missing, and no branch takes the kind's labels" : "missing, and several branches take the kind's labels");
  }
}

void PlanReader::checkReferences(const Plan& plan) {
  std::map<Address, std::string> addresses;
  for (const auto& [serviceName, service] : plan.services)
    for (const auto& [databaseName, database] : service.databases) {
      auto path = "services." + serviceName.get() + ".databases." + databaseName.get();
      auto [other, inserted] = addresses.emplace(database.address, path);
      if (!inserted) fault(path + ".address", "also the address of " + other->second);
    }
  for (const auto& [label, weight] : plan.weights)
    if (std::none_of(plan.machines.begin(), plan.machines.end(), [&](const auto& machine) {
          return machine.second.contains(label);
        }))
      fault("weights." + label.get(), "no machine has this label");
  auto selects = [](const std::set<Label>& selector, const std::set<Label>& labels) {
    return std::includes(labels.begin(), labels.end(), selector.begin(), selector.end());
  };
  for (const auto& [kindName, kind] : plan.kinds) {
    auto path = "kinds." + kindName.get();
    auto service = plan.services.find(kind.service);
    if (service == plan.services.end()) {
      fault(path + ".service", "no such service");
      continue;
    }
    if (!service->second.branches.contains(kind.branch)) fault(path + ".branch", "no such leaf branch in the service");
    if (service->second.discovered
            ? !kind.databases.empty()
            : !std::any_of(service->second.databases.begin(), service->second.databases.end(), [&](const auto& database) {
                return selects(kind.databases, database.second.labels);
              }))
      fault(path + ".databases", "selects nothing");
    if (!kind.machines.empty() && !std::any_of(plan.machines.begin(), plan.machines.end(), [&](const auto& machine) {
          return selects(kind.machines, machine.second);
        }))
      fault(path + ".machines", "selects nothing");
  }
}

void PlanReader::checkHostsDistinct(const Plan& plan) {
  std::map<std::pair<std::string, std::string>, KindName> seen;
  for (const auto& [name, kind] : plan.kinds) {
    if (kind.host.empty()) continue;
    auto [other, inserted] = seen.emplace(std::pair(kind.host, kind.prefix), name);
    if (!inserted) fault("kinds." + name.get() + ".host", "host and prefix are also those of kind " + other->second.get());
  }
}

}  // namespace tamarindshift

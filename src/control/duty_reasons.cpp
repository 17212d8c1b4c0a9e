#include <algorithm>

#include "control/duties.hpp"

namespace tamarindshift {

std::vector<Address> Duties::awaited(const ServiceName& name) const {
  std::vector<Address> nodes;
  const auto& service = state_.services().at(name);
  for (const auto& [address, node] : state_.nodes())
    if (!follows(name, service, address)) nodes.push_back(address);
  return nodes;
}

std::map<Address, std::string> Duties::shareless(const ServiceName& name) const {
  const auto& service = state_.services().at(name);
  std::string moves = "the next move of shares is due";
  if (!service.reserved.empty()) {
    moves = "connections are reserved for";
    for (const auto& [node, share] : service.reserved) moves += " " + node.get();
  }
  if (auto nodes = awaited(name); !nodes.empty()) {
    moves = "the last move of shares is not yet followed by";
    for (const auto& node : nodes) moves += " " + node.get();
  }
  std::map<Address, std::string> reasons;
  for (const auto& [address, node] : state_.nodes()) {
    const auto* known = heard(address);
    auto granted = service.grants.find(address);
    bool has = granted != service.grants.end() && std::any_of(granted->second.begin(), granted->second.end(), [](const auto& each) {
                 return each.second > 0;
               });
    if (!known)
      reasons[address] = "no report heard";
    else if (known->report.boot != node.boot)
      reasons[address] = "registered under another boot";
    else if (has)
      continue;
    else
      reasons[address] = node.draining ? "leaving" : silent(address) ? "silent" : moves;
  }
  return reasons;
}

std::vector<std::string> Duties::unused(const ServiceName& name, const DatabaseName& database) const {
  std::vector<std::string> reasons;
  if (state_.services().at(name).drained.contains(database)) reasons.push_back("drained");
  const auto* sign = access_.database(name, database);
  if (!sign || !fresh(*sign)) reasons.push_back("silent");
  if (suspected(name, database)) reasons.push_back("suspected");
  if (strained(name, database)) reasons.push_back("strained");
  return reasons;
}

}  // namespace tamarindshift

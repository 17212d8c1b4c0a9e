#include <algorithm>

#include "control/duties.hpp"

// Explanations for /status: why nodes have no share and why databases get no work.

namespace tamarindshift {

std::vector<Address> Duties::nodesBehindOnShares(const ServiceName& name) const {
  std::vector<Address> nodes;
  const auto& service = state_.services().at(name);
  for (const auto& [address, node] : state_.nodes())
    if (!followsShares(name, service, address)) nodes.push_back(address);
  return nodes;
}

std::map<Address, std::string> Duties::nodesWithoutShare(const ServiceName& name) const {
  const auto& service = state_.services().at(name);
  std::string moves = "the next change of shares is due";
  if (!service.reserved.empty()) {
    moves = "waits for connections that are reserved for";
    for (const auto& [node, share] : service.reserved) moves += " " + node.get();
  }
  if (auto nodes = nodesBehindOnShares(name); !nodes.empty()) {
    moves = "the last change of shares is not yet applied by";
    for (const auto& node : nodes) moves += " " + node.get();
  }
  std::map<Address, std::string> reasons;
  for (const auto& [address, node] : state_.nodes()) {
    const auto* known = reportOf(address);
    auto granted = service.grants.find(address);
    bool has = granted != service.grants.end() && std::any_of(granted->second.begin(), granted->second.end(), [](const auto& each) {
                 return each.second > 0;
               });
    if (!known)
      reasons[address] = "no report received";
    else if (known->report.boot != node.boot)
      reasons[address] = "registered under another boot";
    else if (has)
      continue;
    else
      reasons[address] = node.draining ? "leaving" : silent(address) ? "silent" : moves;
  }
  return reasons;
}

std::vector<std::string> Duties::unusedReasons(const ServiceName& name, const DatabaseName& database) const {
  std::vector<std::string> reasons;
  if (state_.services().at(name).drained.contains(database)) reasons.push_back("drained");
  const auto* contact = access_.database(name, database);
  if (!contact || !heartbeatIsRecent(*contact)) reasons.push_back("silent");
  if (suspected(name, database)) reasons.push_back("suspected");
  if (degraded(name, database)) reasons.push_back("strained");
  return reasons;
}

}  // namespace tamarindshift

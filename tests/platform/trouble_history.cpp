#include "tests/platform/trouble_history.hpp"

#include <algorithm>

#include "simulated/simulated_network.hpp"

namespace tamarindshift::testing {

bool TroubleHistory::calm(const Address& node, Instant from, Instant until) const {
  auto host = SimulatedNetwork::host(node);
  return std::none_of(troubles.begin(), troubles.end(), [&](const auto& trouble) {
    return (trouble.host.empty() || trouble.host == host) && trouble.from <= until && trouble.until >= from;
  });
}

bool TroubleHistory::inTouch(const Address& node, Instant from, Instant until) const {
  auto host = SimulatedNetwork::host(node);
  auto within = [&](const auto& each) {
    return (each.host.empty() || each.host == host) && each.at >= from && each.at <= until;
  };
  return calm(node, from, until) && std::none_of(stops.begin(), stops.end(), within) && std::none_of(starts.begin(), starts.end(), within);
}

}  // namespace tamarindshift::testing

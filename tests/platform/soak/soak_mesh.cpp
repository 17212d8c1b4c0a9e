#include "tests/platform/soak/soak_mesh.hpp"

#include "simulated/simulated_network.hpp"

namespace tamarindshift::testing {

Address SoakMesh::way(const std::string& source, const Address& target, std::string& fault) {
  auto number = static_cast<int>(ways_.size());
  Address own{prefix_ + "." + std::to_string(100 + number / waysOfAddress) + "." + std::to_string(1 + number % waysOfAddress) + ":7000"};
  auto relay = std::make_unique<Relay>(context_, clock_, own, target);
  if (!relay->listen()) fault = "a relay cannot listen on " + own.get();
  ways_.push_back(Way{source, SimulatedNetwork::host(target), std::move(relay)});
  return own;
}

void SoakMesh::cut(const std::string& source, const std::string& target, bool cut) {
  for (auto& way : ways_)
    if (way.source == source && way.target == target) way.relay->cut(cut);
}

void SoakMesh::reset(const std::string& host) {
  for (auto& way : ways_)
    if (way.source == host || way.target == host) way.relay->reset();
}

}  // namespace tamarindshift::testing

#include "simulated/simulated_network.hpp"

#include "simulated/simulated_link.hpp"

namespace tamarindshift {

void SimulatedNetwork::pass(const Address& from, const Address& to, Envelope envelope) {
  ++passed_;
  if (!connected(from, to) || world_.chance(loss_)) return;
  auto& last = lastArrival_[{from, to}];
  last = std::max(last, world_.now() + latency());
  world_.at(last, [this, from, to, envelope = std::move(envelope)] {
    auto found = links_.find(to);
    if (found != links_.end() && connected(from, to)) found->second->arrive(from, envelope);
  });
}

}  // namespace tamarindshift

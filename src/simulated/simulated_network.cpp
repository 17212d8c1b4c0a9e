#include "simulated/simulated_network.hpp"

#include "simulated/simulated_link.hpp"

namespace tamarindshift {

void SimulatedNetwork::pass(const Address& from, const Address& to, Envelope envelope) {
  ++passed_;
  passedBytes_ += envelope.body.size();
  if (!connected(from, to) || world_.chance(loss_)) return;
  auto& last = lastArrival_[{from, to}];
  last = std::max(last, world_.now() + latency());
  world_.at(last, [this, from, to, envelope = std::move(envelope)] {
    auto found = links_.find(to);
    if (!connected(from, to)) return;
    if (found == links_.end()) return refuse(from, to);
    found->second->arrive(from, envelope);
  });
}

// a machine that runs says so when no process listens; one without power or behind a cut says nothing
void SimulatedNetwork::refuse(const Address& from, const Address& to) {
  if (!connected(to, from)) return;
  world_.at(world_.now() + latency(), [this, from, to] {
    auto asker = links_.find(from);
    if (asker != links_.end() && connected(to, from)) asker->second->refused(to);
  });
}

}  // namespace tamarindshift

#pragma once

#include "simulated/simulated_link.hpp"

namespace tamarindshift {

// a simulated link with a fixed way between regions on top
class DistantLink : public SimulatedLink {
 public:
  using Way = std::function<Duration(const Address& peer)>;
  DistantLink(SimulatedNetwork& network, Clock& clock, Address own, Way way)
      : SimulatedLink(network, clock, std::move(own)), clock_(clock), way_(std::move(way)) {}
  void pass(const Address& peer, Envelope envelope) override {
    auto way = way_(peer);
    if (way == Duration::zero()) return SimulatedLink::pass(peer, std::move(envelope));
    clock_.after(way, [this, peer, envelope = std::move(envelope)] {
      SimulatedLink::pass(peer, envelope);
    });
  }

 private:
  Clock& clock_;
  Way way_;
};

}  // namespace tamarindshift

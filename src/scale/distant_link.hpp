#pragma once

#include "simulated/simulated_link.hpp"

namespace tamarindshift {

// a simulated link with a fixed way between regions on top
class DistantLink : public SimulatedLink {
 public:
  using Way = std::function<Duration(const Address& partner)>;
  DistantLink(SimulatedNetwork& network, Clock& clock, Address own, Way way) : SimulatedLink(network, clock, std::move(own)), clock_(clock), way_(std::move(way)) {}
  void pass(const Address& partner, Envelope envelope) override {
    auto way = way_(partner);
    if (way == Duration::zero()) return SimulatedLink::pass(partner, std::move(envelope));
    clock_.after(way, [this, partner, envelope = std::move(envelope)] { SimulatedLink::pass(partner, envelope); });
  }

 private:
  Clock& clock_;
  Way way_;
};

}  // namespace tamarindshift

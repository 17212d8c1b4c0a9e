#pragma once

#include "base/clock.hpp"
#include "base/peer_link.hpp"
#include "simulated/simulated_network.hpp"

namespace tamarindshift {

class SimulatedLink : public PeerLink {
 public:
  SimulatedLink(SimulatedNetwork& network, Clock& clock, Address own) : network_(network), clock_(clock), own_(std::move(own)) {
    network_.attach(own_, *this);
  }
  ~SimulatedLink() override { network_.detach(own_); }
  const Address& own() const override { return own_; }
  void pass(const Address& peer, Envelope envelope) override { network_.pass(own_, peer, std::move(envelope)); }
  void arrive(const Address& from, Envelope envelope) {
    clock_.after(Duration::zero(), [this, from, envelope = std::move(envelope)] {
      arrived(from, envelope);
    });
  }
  void refused(const Address& peer) {
    clock_.after(Duration::zero(), [this, peer] {
      refusedBy(peer);
    });
  }

 private:
  SimulatedNetwork& network_;
  Clock& clock_;
  Address own_;
};

}  // namespace tamarindshift

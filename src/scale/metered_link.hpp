#pragma once

#include "base/peer_link.hpp"
#include "scale/traffic.hpp"

namespace tamarindshift {

// counts what passes through a link, by the class of the peer and by the subject
class MeteredLink : public PeerLink {
 public:
  using PeerClass = std::function<std::string(const Address&)>;

  MeteredLink(PeerLink& inner, Traffic& traffic, PeerClass peerClass);
  const Address& own() const override { return inner_.own(); }
  void pass(const Address& peer, Envelope envelope) override;
  std::size_t arriving(const Address& peer) const override { return inner_.arriving(peer); }

 private:
  static constexpr std::size_t frameHead = 5;
  static std::string subject(const Envelope& envelope);
  std::string name(const Address& peer, const Envelope& envelope) const { return peerClass_(peer) + "/" + subject(envelope); }
  PeerLink& inner_;
  Traffic& traffic_;
  PeerClass peerClass_;
};

}  // namespace tamarindshift

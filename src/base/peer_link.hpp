#pragma once

#include <functional>
#include <map>
#include <utility>

#include "base/address.hpp"
#include "wire/envelope.hpp"

namespace tamarindshift {

class PeerLink {
 public:
  using Arrival = std::function<void(const Address& from, const std::string& body)>;

  virtual ~PeerLink() = default;
  virtual const Address& own() const = 0;
  virtual void pass(const Address& peer, Envelope envelope) = 0;
  /// Bytes of a message from `peer` that have come while its end is still on its way; 0 if there is none.
  virtual std::size_t arriving(const Address&) const { return 0; }
  void on(Matter matter, Arrival arrival) { arrivals_[matter] = std::move(arrival); }

 protected:
  void arrived(const Address& from, const Envelope& envelope) {
    auto found = arrivals_.find(envelope.matter);
    if (found != arrivals_.end()) found->second(from, envelope.body);
  }

 private:
  std::map<Matter, Arrival> arrivals_;
};

}  // namespace tamarindshift

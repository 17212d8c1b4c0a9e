#pragma once

#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "base/address.hpp"
#include "wire/envelope.hpp"

namespace tamarindshift {

/// Messages to other processes, in order and unacknowledged; any of them may be lost.
class PeerLink {
 public:
  using Arrival = std::function<void(const Address& from, const std::string& body)>;
  using Refusal = std::function<void(const Address& peer)>;

  virtual ~PeerLink() = default;
  virtual const Address& own() const = 0;
  virtual void pass(const Address& peer, Envelope envelope) = 0;
  /// Bytes of a message from `peer` that have come while its end is still on its way; 0 if there is none.
  virtual std::size_t arriving(const Address&) const { return 0; }
  void on(MessageType matter, Arrival arrival) { arrivals_[matter] = std::move(arrival); }
  /// Calls back each time that a peer's machine says that no process listens at its address. That its process has
  /// ended is then known at once instead of after a time of silence; it may have started again since.
  void onRefused(Refusal refusal) { refusals_.push_back(std::move(refusal)); }

 protected:
  void arrived(const Address& from, const Envelope& envelope) {
    auto found = arrivals_.find(envelope.type);
    if (found != arrivals_.end()) found->second(from, envelope.body);
  }

  void refusedBy(const Address& peer) {
    for (const auto& refusal : refusals_) refusal(peer);
  }

 private:
  std::vector<Refusal> refusals_;
  std::map<MessageType, Arrival> arrivals_;
};

}  // namespace tamarindshift

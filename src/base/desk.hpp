#pragma once

#include <map>
#include <memory>
#include <optional>

#include "base/gate.hpp"
#include "base/peer_link.hpp"
#include "base/task_scope.hpp"

namespace tamarindshift {

/// Requests and replies between processes over a `PeerLink` that may lose, delay, double and reorder messages.
///
/// A reply is handed to a caller only if it comes from the peer that was asked, names the boot of this process and
/// the attempt that is still waiting; the first such reply counts. A request is never sent again by itself. One that
/// waits for a peer whose process has ended is given up at once.
class Desk {
 public:
  /// Handles a request; no value means that no reply is sent.
  using Service = std::function<Task<std::optional<std::string>>(Address from, std::string body)>;

  /// `boot` must differ between the lives of a process at one address.
  Desk(Clock& clock, PeerLink& link, std::uint64_t boot);
  const Address& own() const { return link_.own(); }
  void serve(const std::string& subject, Service service) { services_[subject] = std::move(service); }
  /// Sends a request and waits for its reply until `deadline`; no value if none came, and its effect is then unknown.
  Task<std::optional<std::string>> ask(Address peer, std::string subject, std::string body, Instant deadline);
  /// The same, but gives up once nothing of a reply has come for `patience`: a long reply over a slow link is waited for.
  Task<std::optional<std::string>> askPatiently(Address peer, std::string subject, std::string body, Duration patience, Instant deadline);
  /// Sends a request that wants no reply.
  void tell(const Address& peer, const std::string& subject, const std::string& body);

 private:
  struct Pending {
    Address peer;
    std::uint64_t attempt = 0;
    std::optional<std::string> body;
    /// The peer has no process that could reply.
    bool refused = false;
    Gate gate;
  };
  std::shared_ptr<Pending> send(const Address& peer, std::string subject, std::string body);
  void onAsk(const Address& from, const std::string& bytes);
  void onRefused(const Address& peer);
  void onReply(const Address& from, const std::string& bytes);
  Task<void> answer(Address from, std::uint64_t attempt, std::uint64_t boot, std::string subject, std::string body);

  Clock& clock_;
  PeerLink& link_;
  std::uint64_t boot_;
  std::map<std::string, Service> services_;
  std::map<std::uint64_t, std::shared_ptr<Pending>> pending_;
  std::uint64_t lastAttempt_ = 0;
  TaskScope scope_;
};

}  // namespace tamarindshift

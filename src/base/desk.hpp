#pragma once

#include <map>
#include <memory>
#include <optional>

#include "base/gate.hpp"
#include "base/peer_link.hpp"
#include "base/task_scope.hpp"

namespace tamarindshift {

class Desk {
 public:
  using Service = std::function<Task<std::optional<std::string>>(Address from, std::string body)>;

  Desk(Clock& clock, PeerLink& link);
  void serve(const std::string& subject, Service service) { services_[subject] = std::move(service); }
  Task<std::optional<std::string>> ask(Address peer, std::string subject, std::string body, Instant deadline);
  void tell(const Address& peer, const std::string& subject, const std::string& body);

 private:
  struct Pending {
    std::optional<std::string> body;
    Gate gate;
  };
  void onAsk(const Address& from, const std::string& bytes);
  void onReply(const std::string& bytes);
  Task<void> answer(Address from, std::uint64_t attempt, std::string subject, std::string body);

  Clock& clock_;
  PeerLink& link_;
  std::map<std::string, Service> services_;
  std::map<std::uint64_t, std::shared_ptr<Pending>> pending_;
  std::uint64_t lastAttempt_ = 0;
  TaskScope scope_;
};

}  // namespace tamarindshift

/// Queue of the requests that wait for a connection.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "pooler/connection_request.hpp"

namespace tamarindshift {

/// Ordered by precedence, then by arrival.
class ConnectionRequestQueue {
 public:
  using Request = std::shared_ptr<ConnectionRequest>;

  void add(const Request& request);
  /// Both remove the request from the queue and wake the task that waits for it.
  void grant(const Request& request, std::shared_ptr<PooledBackEnd> connection);
  void refuse(const Request& request, StatementFault fault, std::string reason);
  /// A copy in queue order, so that requests may be granted or refused while it is walked.
  std::vector<Request> waiting() const;
  std::size_t size() const { return waiting_.size(); }
  bool empty() const { return waiting_.empty(); }

 private:
  using Key = std::pair<std::uint32_t, std::uint64_t>;
  static Key key(const Request& request) { return {request->order, request->number}; }
  void decide(const Request& request, ConnectionRequestState state);
  std::uint64_t lastNumber_ = 0;
  std::map<Key, Request> waiting_;
};

}  // namespace tamarindshift

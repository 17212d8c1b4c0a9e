#include "pooler/connection_request_queue.hpp"

namespace tamarindshift {

void ConnectionRequestQueue::add(const Request& request) {
  request->number = ++lastNumber_;
  waiting_.emplace(key(request), request);
}

void ConnectionRequestQueue::decide(const Request& request, ConnectionRequestState state) {
  request->state = state;
  waiting_.erase(key(request));
  request->decided.open();
}

void ConnectionRequestQueue::grant(const Request& request, std::shared_ptr<PooledBackEnd> connection) {
  request->connection = std::move(connection);
  decide(request, ConnectionRequestState::granted);
}

void ConnectionRequestQueue::refuse(const Request& request, StatementFault fault, std::string reason) {
  request->fault = fault;
  request->reason = std::move(reason);
  decide(request, ConnectionRequestState::refused);
}

std::vector<ConnectionRequestQueue::Request> ConnectionRequestQueue::waiting() const {
  std::vector<Request> requests;
  requests.reserve(waiting_.size());
  for (const auto& [key, request] : waiting_) requests.push_back(request);
  return requests;
}

}  // namespace tamarindshift

// A client request on its way through the proxy.
#pragma once

#include "base/gate.hpp"
#include "proxy/session.hpp"

namespace tamarindshift {

enum class RequestStage { created, waitingForConnection, forwarded, replied };

/// `failed`: the database refused or failed it; `unknown`: it may have had its effect; `stateLost`: the transaction or the state of the
/// session was lost and the client must start over.
enum class RequestOutcome { done, failed, refused, unknown, stateLost };

struct RequestReply {
  RequestOutcome outcome = RequestOutcome::refused;
  /// HTTP status.
  int status = 503;
  std::string reason;
  std::string result;
  /// When the client may try again, if that makes sense.
  std::optional<Duration> retryAfter;
  DatabaseName database;
  /// The log position of the write, or for a read the position of the database that served it.
  Position position;
};

struct RequestRecord {
  /// Order of arrival.
  std::uint64_t number = 0;
  std::shared_ptr<Session> session;
  KindName kind;
  DatabaseRequest request;
  ServiceName service;
  BranchName branch;
  /// Priority of the branch; the lowest order is served first.
  std::uint32_t order = 0;
  RequestStage stage = RequestStage::created;
  Instant createdAt{};
  /// A request that still waits at this time is refused.
  Instant queueDeadline{};
  /// How often the request was sent to a database.
  std::uint32_t attempts = 0;
  /// Databases that failed this request or were too far behind for it; replicas among them are not chosen again.
  std::set<DatabaseName> avoidedDatabases;
  RequestReply reply;
  /// Opens when `reply` is set.
  Gate replied;
};

}  // namespace tamarindshift

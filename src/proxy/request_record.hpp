#pragma once

#include "base/gate.hpp"
#include "proxy/session.hpp"

namespace tamarindshift {

enum class RequestStage { enrolled, waitsForConnection, passed, replied };

enum class RequestOutcome { done, failed, refused, unknown, stateLost };

struct RequestReply {
  RequestOutcome outcome = RequestOutcome::refused;
  int status = 503;
  std::string reason;
  std::string result;
  std::optional<Duration> retryAfter;
  DatabaseName database;
  Position position;
};

struct RequestRecord {
  std::uint64_t number = 0;
  std::shared_ptr<Session> session;
  KindName kind;
  DatabaseRequest request;
  ServiceName service;
  BranchName branch;
  std::uint32_t order = 0;
  RequestStage stage = RequestStage::enrolled;
  Instant enrolledAt{};
  Instant giveUpAt{};
  std::uint32_t attempts = 0;
  std::set<DatabaseName> avoid;
  RequestReply reply;
  Gate replied;
};

}  // namespace tamarindshift

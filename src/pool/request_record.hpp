#pragma once

#include "base/gate.hpp"
#include "pool/session.hpp"

namespace tamarindshift {

enum class RequestStage { enrolled, waitsForConnection, passed, replied };

enum class RequestFate { done, failed, refused, unknown, lostState };

struct RequestReply {
  RequestFate fate = RequestFate::refused;
  int status = 503;
  std::string reason;
  std::string result;
  std::optional<Duration> comeBack;
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

#pragma once

#include "proxy/database_messages.hpp"

namespace tamarindshift {

struct SentRequest {
  std::size_t session = 0;
  std::uint64_t sequence = 0;
  std::uint64_t transaction = 0;
  KindName kind;
  Address proxy;
  DatabaseRequest request;
  Instant sentAt{};
  Instant endedAt = Instant::max();
};

}  // namespace tamarindshift

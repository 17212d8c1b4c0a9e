#pragma once

#include "wire/pack.hpp"

namespace tamarindshift {

struct DeskAsk {
  std::uint64_t attempt = 0;
  std::string subject;
  std::string body;
  MSGPACK_DEFINE(attempt, subject, body)
};

struct DeskReply {
  std::uint64_t attempt = 0;
  std::string body;
  MSGPACK_DEFINE(attempt, body)
};

}  // namespace tamarindshift

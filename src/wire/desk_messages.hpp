#pragma once

#include "wire/pack.hpp"

namespace tamarindshift {

struct DeskAsk {
  std::uint64_t shot = 0;
  std::string subject;
  std::string body;
  MSGPACK_DEFINE(shot, subject, body)
};

struct DeskReply {
  std::uint64_t shot = 0;
  std::string body;
  MSGPACK_DEFINE(shot, body)
};

}  // namespace tamarindshift

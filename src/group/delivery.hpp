#pragma once

#include "group/view_id.hpp"

namespace tamarindshift {

struct Delivery {
  ViewId view;
  std::uint64_t sequence = 0;
  ServerId sender;
  std::string payload;
  bool durable = false;
  MSGPACK_DEFINE(view, sequence, sender, payload, durable)
};

}  // namespace tamarindshift

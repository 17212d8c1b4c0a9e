#pragma once

#include "group/view_id.hpp"

namespace tamarindshift {

/// A message with its place in the total order of a view.
struct Delivery {
  ViewId view;
  /// 1 for the first message of the view, without gaps.
  std::uint64_t sequence = 0;
  ServerId sender;
  std::string payload;
  /// Whether a member must have it on its disk before it acknowledges it.
  bool durable = false;
  MSGPACK_DEFINE(view, sequence, sender, payload, durable)
};

}  // namespace tamarindshift

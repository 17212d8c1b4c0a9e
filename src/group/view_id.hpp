#pragma once

#include "group/member.hpp"

namespace tamarindshift {

/// Identifies a view. Ids rise along the views of a member; coordinators that propose at the same time take different ones.
struct ViewId {
  std::uint64_t counter = 0;
  Member coordinator;
  auto operator<=>(const ViewId&) const = default;
  bool operator==(const ViewId&) const = default;
  MSGPACK_DEFINE(counter, coordinator)
};

inline std::string text(const ViewId& view) {
  return std::to_string(view.counter) + "@" + view.coordinator.server.address.get();
}

}  // namespace tamarindshift

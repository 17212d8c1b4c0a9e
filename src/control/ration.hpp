#pragma once

#include <map>

#include "base/address.hpp"
#include "control/names.hpp"

namespace tamarindshift {

/// Limits how many connections of a crowded database work of later orders gets, the same at all nodes that share it.
/// Orders are the priorities of work; lower numbers go first.
struct Ration {
  /// Work of this order and of all earlier ones is not limited.
  std::uint32_t freeThrough = 0;
  /// For each node the connections that all work of later orders together may use.
  std::map<Address, std::uint32_t> later;
  /// The limit of a node for work of later orders; 0 for a node that `later` does not name.
  std::uint32_t laterLimitAt(const Address& node) const {
    auto found = later.find(node);
    return found == later.end() ? 0 : found->second;
  }
  bool operator==(const Ration&) const = default;
  MSGPACK_DEFINE(freeThrough, later)
};

/// By order: connections that the work of the order keeps busy or waits for, in units of 1/`demandUnitsPerConnection`.
using DemandByOrder = std::map<std::uint32_t, std::uint32_t>;

constexpr std::uint32_t demandUnitsPerConnection = 10;

}  // namespace tamarindshift

#pragma once

#include <map>

#include "base/address.hpp"
#include "control/names.hpp"

namespace tamarindshift {

// How nodes that share one crowded database agree which work gets its connections first: work of an order up to
// `freeThrough` is not held; all work of later orders together has at each node the connections that `later` names.
struct Ration {
  std::uint32_t freeThrough = 0;
  std::map<Address, std::uint32_t> later;
  std::uint32_t laterAt(const Address& node) const {
    auto found = later.find(node);
    return found == later.end() ? 0 : found->second;
  }
  bool operator==(const Ration&) const = default;
  MSGPACK_DEFINE(freeThrough, later)
};

// connections that work of an order keeps running or waits for, in tenths
using OrderedDemand = std::map<std::uint32_t, std::uint32_t>;

constexpr std::uint32_t demandUnit = 10;

}  // namespace tamarindshift

#pragma once

// Strong types for the names and counters of the control plane.

#include <cstdint>
#include <string>

#include "base/strong.hpp"
#include "wire/pack.hpp"

namespace tamarindshift {

/// Version of a plan, its "mark" in JSON; a plan replaces the one in force only with a higher version.
using PlanVersion = Strong<struct PlanVersionTag, std::uint64_t>;
/// Number of the term in which a service has one primary; rises with each change of the primary.
using Epoch = Strong<struct EpochTag, std::uint64_t>;
/// Position of an entry in a database's log.
using Position = Strong<struct PositionTag, std::uint64_t>;
/// Position in a database's log together with the epoch in which the entry was written; compared by epoch first.
struct LogPosition {
  Epoch epoch;
  Position position;
  auto operator<=>(const LogPosition&) const = default;
  bool operator==(const LogPosition&) const = default;
  MSGPACK_DEFINE(epoch, position)
};

using ServiceName = Strong<struct ServiceNameTag, std::string>;
using DatabaseName = Strong<struct DatabaseNameTag, std::string>;
/// Name of a kind of route.
using KindName = Strong<struct KindNameTag, std::string>;
/// Name of a leaf of a service's quota tree.
using BranchName = Strong<struct BranchNameTag, std::string>;
/// Label by which plans select machines, databases and branches.
using Label = Strong<struct LabelTag, std::string>;

}  // namespace tamarindshift

#pragma once

#include <cstdint>
#include <string>

#include "base/strong.hpp"
#include "wire/pack.hpp"

namespace tamarindshift {

using PlanVersion = Strong<struct PlanVersionTag, std::uint64_t>;
using Epoch = Strong<struct EpochTag, std::uint64_t>;
using Position = Strong<struct PositionTag, std::uint64_t>;
struct LogPosition {
  Epoch epoch;
  Position position;
  auto operator<=>(const LogPosition&) const = default;
  bool operator==(const LogPosition&) const = default;
  MSGPACK_DEFINE(epoch, position)
};

using ServiceName = Strong<struct ServiceNameTag, std::string>;
using DatabaseName = Strong<struct DatabaseNameTag, std::string>;
using KindName = Strong<struct KindNameTag, std::string>;
using BranchName = Strong<struct BranchNameTag, std::string>;
using Label = Strong<struct LabelTag, std::string>;

}  // namespace tamarindshift

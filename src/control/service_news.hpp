#pragma once

#include "control/plan.hpp"

namespace tamarindshift {

struct ServiceNews {
  PlanMark mark;
  PlanService service;
  std::map<KindName, PlanKind> kinds;
  MSGPACK_DEFINE(mark, service, kinds)
};

struct PrimaryNews {
  Epoch epoch;
  DatabaseName primary;
  bool promoted = false;
  MSGPACK_DEFINE(epoch, primary, promoted)
};

struct ShareNews {
  std::uint64_t at = 0;
  std::map<BranchName, std::uint32_t> most;
  MSGPACK_DEFINE(at, most)
};

struct NodeNews {
  District district;
  bool draining = false;
  std::set<Label> labels;
  MSGPACK_DEFINE(district, draining, labels)
};

struct FleetPlanNews {
  PlanMark mark;
  std::map<KindName, ServiceName> kinds;
  MSGPACK_DEFINE(mark, kinds)
};

}  // namespace tamarindshift

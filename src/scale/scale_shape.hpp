#pragma once

#include <algorithm>

#include "scale/numbered.hpp"
#include "simulated/fleet_shape.hpp"

namespace tamarindshift {

struct ScaleShape {
  std::size_t replicas = 7;
  std::size_t nodes = 20;
  std::size_t databases = 47;
  std::size_t databasesPerService = 3;
  std::size_t zones = 6;
  std::size_t regions = 3;
  std::uint32_t connections = 480;
  std::size_t services() const { return std::max<std::size_t>(1, (databases + databasesPerService - 1) / databasesPerService); }
  std::size_t regionOfZone(std::size_t zone) const { return zone * regions / zones; }
  Zone zone(std::size_t index) const {
    auto zone = index % zones;
    return Zone{numbered(numbered("r", regionOfZone(zone) + 1).append("z"), zone + 1)};
  }
  FleetShape fleet() const {
    FleetShape shape;
    shape.replicas = replicas;
    shape.machines = nodes;
    shape.zones = zones;
    shape.services = services();
    shape.databases = databasesPerService;
    shape.connections = connections;
    shape.cap = connections + 20;
    return shape;
  }
};

}  // namespace tamarindshift

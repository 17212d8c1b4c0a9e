#include "simulated/deployment.hpp"

namespace tamarindshift {

namespace {

CallerKind kind(const std::string& name, std::size_t service, std::size_t callers, Duration pause) {
  CallerKind made;
  made.kind = KindName{name + std::to_string(service)};
  made.service = ServiceName{"s" + std::to_string(service)};
  made.callers = callers;
  made.pause = pause;
  made.primary = name == "counter";
  made.walksAway = 10;
  if (!made.primary) made.writes = made.transactions = 0;
  return made;
}

FleetShape full(std::size_t machines, std::size_t zones, std::uint32_t cap) {
  FleetShape shape;
  shape.machines = machines;
  shape.zones = zones;
  shape.services = 3;
  shape.databases = 3;
  shape.cap = cap;
  shape.connections = cap - 10;
  for (std::size_t service = 1; service <= 3; ++service) {
    shape.callers.push_back(kind("counter", service, 40, 800ms));
    shape.callers.push_back(kind("lookup", service, 40, 550ms));
    shape.callers.push_back(kind("status", service, 17, 700ms));
  }
  return shape;
}

}  // namespace

std::optional<FleetShape> deploymentNamed(const std::string& name) {
  if (name == "fes") return full(9, 3, 120);
  if (name == "croatia") return full(7, 4, 70);
  if (name != "small") return std::nullopt;
  FleetShape shape;
  shape.machines = 3;
  shape.services = 1;
  shape.callers = {kind("counter", 1, 10, 150ms), kind("lookup", 1, 6, 150ms), kind("status", 1, 4, 200ms)};
  return shape;
}

}  // namespace tamarindshift

#pragma once

#include <catch2/catch.hpp>

#include "tests/control_cluster.hpp"

namespace tamarindshift {

// a service of three databases known by their heartbeats, led by d1
struct DiscoveredCluster : ControlCluster {
  explicit DiscoveredCluster(std::uint32_t syncReplicas = 0) {
    start("d1", "primary", Position{100});
    start("d2", "replica", Position{98});
    start("d3", "replica", Position{95});
    plan(1, discovered(syncReplicas));
    REQUIRE(runUntil(5s, [&] {
      return promoted("d1");
    }));
    run(2s);
  }
  ServiceReport& own() { return report.services[ServiceName{"s1"}]; }
  const EnrolledDatabase* enrolled(const std::string& name) { return replica(0).state().enrolled(ServiceName{"s1"}, DatabaseName{name}); }
};

}  // namespace tamarindshift

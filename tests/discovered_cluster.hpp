#pragma once

#include <catch2/catch.hpp>

#include "tests/control_cluster.hpp"

namespace tamarindshift {

/// A service of three databases that are discovered by their heartbeats; d1 is the primary.
struct DiscoveredCluster : ControlCluster {
  explicit DiscoveredCluster(std::uint32_t syncReplicas = 0) {
    startDatabase("d1", "primary", Position{100});
    startDatabase("d2", "replica", Position{98});
    startDatabase("d3", "replica", Position{95});
    applyPlan(1, discoveredService(syncReplicas));
    REQUIRE(runUntil(5s, [&] {
      return promoted("d1");
    }));
    run(2s);
  }
  ServiceReport& serviceReport() { return report.services[ServiceName{"s1"}]; }
  const EnrolledDatabase* enrolled(const std::string& name) { return replica(0).state().enrolled(ServiceName{"s1"}, DatabaseName{name}); }
};

}  // namespace tamarindshift

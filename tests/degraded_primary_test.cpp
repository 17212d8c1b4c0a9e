#include "tests/discovered_cluster.hpp"

using namespace tamarindshift;

namespace {

constexpr Duration oldLeases = Timings{}.lease + Timings{}.leaseMargin;

void crash(DiscoveredCluster& cluster) {
  cluster.databases.at("d1").up = false;
  cluster.serviceReport().hasRecentWork = true;
  cluster.serviceReport().suspects = {DatabaseName{"d1"}};
  REQUIRE(cluster.runUntil(2s, [&] {
    return cluster.service().epoch == Epoch{2};
  }));
}

void cutOff(DiscoveredCluster& cluster, std::size_t member) {
  for (std::size_t other = 0; other < 3; ++other) {
    if (other == member) continue;
    cluster.network.cut("10.0.0." + std::to_string(member + 1), "10.0.0." + std::to_string(other + 1));
    cluster.network.cut("10.0.0." + std::to_string(other + 1), "10.0.0." + std::to_string(member + 1));
  }
}

}  // namespace

TEST_CASE("a primary that stays degraded is replaced by a replica that is not") {
  DiscoveredCluster cluster;
  cluster.serviceReport().hasRecentWork = true;
  cluster.serviceReport().strained = {DatabaseName{"d1"}};
  REQUIRE(cluster.runUntil(1s, [&] {
    return cluster.service().epoch == Epoch{2};
  }));
  CHECK(cluster.service().plannedSwitchover);
  REQUIRE(cluster.runUntil(3s, [&] {
    return cluster.promoted("d2");
  }));
}

TEST_CASE("a primary that was just promoted is not replaced as degraded until the work that waited for it is done") {
  DiscoveredCluster cluster;
  cluster.followsUpdates = false;
  crash(cluster);
  REQUIRE(cluster.runUntil(5s, [&] {
    return cluster.promoted("d2");
  }));
  cluster.followsUpdates = true;
  cluster.serviceReport().suspects.clear();
  cluster.serviceReport().strained = {DatabaseName{"d2"}};
  CHECK_FALSE(cluster.runUntil(1500ms, [&] {
    return cluster.service().epoch > Epoch{2};
  }));
  CHECK(cluster.runUntil(1s, [&] {
    return cluster.service().epoch > Epoch{2};
  }));
}

TEST_CASE("while a node is unreachable a degraded primary is replaced only if it stays degraded for as long as the node's lease") {
  DiscoveredCluster cluster;
  NodeReport other = cluster.report;
  other.node = Address{"10.1.0.2:1"};
  for (int times = 0; times < 20; ++times) {
    other.services = cluster.report.services;
    for (const auto* replica : {"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}) cluster.nodeDesk.tell(Address{replica}, "report", packed(other));
    cluster.run(100ms);
  }
  REQUIRE(cluster.replica(0).state().nodes().contains(other.node));
  cluster.run(1200ms);
  cluster.serviceReport().hasRecentWork = true;
  cluster.serviceReport().strained = {DatabaseName{"d1"}};
  CHECK_FALSE(cluster.runUntil(1500ms, [&] {
    return cluster.service().epoch > Epoch{1};
  }));
  CHECK(cluster.runUntil(1s, [&] {
    return cluster.service().epoch > Epoch{1};
  }));
}

TEST_CASE("old leases are counted from when the recovery was ordered, also if the member on duty loses the duties and takes them again") {
  DiscoveredCluster cluster;
  cluster.followsUpdates = false;
  crash(cluster);
  auto since = cluster.world.now();
  cluster.run(300ms);
  cutOff(cluster, 2);
  REQUIRE(cluster.runUntil(5s, [&] {
    return cluster.databases.at("d2").promoteCalls > 0;
  }));
  CHECK(cluster.world.now() - since > oldLeases);
  CHECK(cluster.world.now() - since < oldLeases + 400ms);
}

TEST_CASE("old leases are counted from when the recovery was ordered, also if another member takes the duties") {
  DiscoveredCluster cluster;
  cluster.followsUpdates = false;
  crash(cluster);
  auto since = cluster.world.now();
  cluster.run(300ms);
  cutOff(cluster, 0);
  REQUIRE(cluster.runUntil(5s, [&] {
    return cluster.databases.at("d2").promoteCalls > 0;
  }));
  CHECK(cluster.world.now() - since > oldLeases);
  CHECK(cluster.world.now() - since < oldLeases + 400ms);
}

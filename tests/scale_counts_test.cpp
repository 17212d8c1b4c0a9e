#include <catch2/catch.hpp>

#include "scale/simulated_scale.hpp"

using namespace tamarindshift;

namespace {

struct Counts {
  Traffic nodes;
  Traffic replicas;
  std::uint64_t nodesOut(const std::string& name) { return nodes.out[name].messages; }
  std::uint64_t replicasOut(const std::string& name) { return replicas.out[name].messages; }
};

Counts overTenSeconds(SimulatedScale& scale) {
  auto nodes = scale.nodeTraffic();
  auto replicas = scale.replicaTraffic();
  scale.run(10s);
  return Counts{scale.nodeTraffic() - nodes, scale.replicaTraffic() - replicas};
}

ScaleShape threeZones(std::size_t nodes) {
  ScaleShape shape;
  shape.replicas = 3;
  shape.nodes = nodes;
  shape.zones = 3;
  shape.databases = 6;
  return shape;
}

constexpr std::uint64_t asksOfOneFollowerToOneSource = 64;

}  // namespace

TEST_CASE("messages of a small fleet are counted exactly on simulated time") {
  SimulatedScale scale(threeZones(6), 1, 0ms);
  REQUIRE(scale.start());
  auto counts = overTenSeconds(scale);
  {
    INFO("6 nodes send a whole report each 500 ms, from proxy to agent and on to each of 3 replicas");
    CHECK(counts.nodes.in["inside/report"].messages == 6 * 20);
    CHECK(counts.nodesOut("replica/report") == 6 * 20 * 3);
  }
  {
    INFO("3 replicas heartbeat 10 times a second to 2 others");
    CHECK(counts.replicasOut("replica/group-heartbeat") == 3 * 100 * 2);
  }
  {
    INFO("one ask carries all topics of a source and takes 150 ms of waiting, 5 ms of pause and the ways: 64 in 10 s");
    INFO("6 proxies ask their agent; of 2 nodes in each of 3 zones both are homes and ask the other one and a replica");
    CHECK(counts.nodes.in["inside/follow"].messages == 6 * asksOfOneFollowerToOneSource);
    CHECK(counts.nodesOut("agent/follow") == 6 * asksOfOneFollowerToOneSource);
    CHECK(counts.nodesOut("replica/follow") == 6 * asksOfOneFollowerToOneSource);
    CHECK(counts.nodesOut("inside/reply") == 6 * asksOfOneFollowerToOneSource);
    CHECK(counts.nodesOut("agent/reply") == 6 * asksOfOneFollowerToOneSource);
  }
  {
    INFO("6 agents ask a replica for its peers each 3 s: 4 times; replicas reply to that and to the asks for news");
    CHECK(counts.nodesOut("replica/peers") == 6 * 4);
    CHECK(counts.replicasOut("agent/reply") == 6 * asksOfOneFollowerToOneSource + 6 * 4);
  }
  {
    INFO("6 databases heartbeat 49 times, to 2 agents and a replica in turn; an agent relays to 3 replicas, a replica to 2");
    CHECK(counts.nodesOut("replica/heartbeat") == 198 * 3);
    CHECK(counts.replicasOut("replica/heartbeat") == 96 * 2);
  }
}

TEST_CASE("nodes that are no homes ask both homes of their zone and no replica, counted exactly on simulated time") {
  SimulatedScale scale(threeZones(12), 1, 0ms);
  REQUIRE(scale.start());
  auto counts = overTenSeconds(scale);
  INFO("of 4 nodes in each of 3 zones 2 are homes and ask the other one and a replica, 2 ask both homes");
  CHECK(counts.nodes.in["inside/follow"].messages == 12 * asksOfOneFollowerToOneSource);
  CHECK(counts.nodesOut("replica/follow") == 3 * 2 * asksOfOneFollowerToOneSource);
  CHECK(counts.nodesOut("agent/follow") == 3 * (2 + 2 * 2) * asksOfOneFollowerToOneSource);
  CHECK(counts.nodesOut("agent/reply") == 3 * (2 + 2 * 2) * asksOfOneFollowerToOneSource);
  CHECK(counts.nodesOut("replica/report") == 12 * 20 * 3);
}

#include <catch2/catch.hpp>

#include "scale/simulated_scale.hpp"

using namespace tamarindshift;

namespace {

struct Counts {
  Traffic nodes;
  Traffic replicas;
};

Counts over(SimulatedScale& scale, Duration window) {
  auto nodes = scale.nodeTraffic();
  auto replicas = scale.replicaTraffic();
  scale.run(window);
  return Counts{scale.nodeTraffic() - nodes, scale.replicaTraffic() - replicas};
}

}  // namespace

TEST_CASE("messages of a small fleet are counted exactly on simulated time") {
  ScaleShape shape;
  shape.replicas = 3;
  shape.nodes = 6;
  shape.zones = 3;
  shape.databases = 6;
  SimulatedScale scale(shape, 1, 0ms);
  REQUIRE(scale.start());
  auto counts = over(scale, 10s);
  auto nodesOut = [&](const std::string& name) { return counts.nodes.out[name].messages; };
  auto replicasOut = [&](const std::string& name) { return counts.replicas.out[name].messages; };
  // 6 nodes report 5 times a second to each of 3 replicas
  CHECK(nodesOut("replica/report") == 6 * 50 * 3);
  // 3 replicas beat 10 times a second to 2 others
  CHECK(replicasOut("replica/group-beat") == 3 * 100 * 2);
  // 3 topics at 6 proxies and 6 agents; of each topic 3 agents, one a zone, ask a replica; an ask takes 107 ms
  CHECK(counts.nodes.in["inside/follow"].messages == 1680);
  CHECK(nodesOut("agent/follow") == 840);
  CHECK(nodesOut("replica/follow") == 842);
  CHECK(nodesOut("inside/reply") == 1684);
  CHECK(nodesOut("agent/reply") == 844);
  // 6 databases beat 5 times a second to 2 agents and a replica in turn; an agent relays to 3 replicas, a replica to 2
  CHECK(nodesOut("replica/beat") == 594);
  CHECK(replicasOut("replica/beat") == 192);
}

#include <catch2/catch.hpp>

#include "tests/control_cluster.hpp"

using namespace tamarindshift;

namespace {

const ServiceName serviceName{"s1"};
const BranchName branch{"b"};

// `count` nodes besides the one of the cluster, each with its own boot number
struct ManyNodes : ControlCluster {
  explicit ManyNodes(std::size_t count, std::uint32_t connections = 100) {
    report.services[serviceName].connectionDemand[branch] = 1;
    for (std::size_t index = 0; index < count; ++index) boots[address(index)] = 1;
    applyPlan(1, R"({"discovery":"heartbeats","quota":{"connections":)" + std::to_string(connections) +
                     R"(,"branches":{"b":{"connections":)" + std::to_string(connections) + "}}}}");
    startDatabase("d1", "primary", Position{100});
    nodeReports.spawn(reportAll());
    REQUIRE(runUntil(20s, [&] {
      return service().grants.size() == boots.size() + 1;
    }));
    run(8s);
  }
  ~ManyNodes() { nodeReports.clear(); }
  static Address address(std::size_t index) { return Address{"10.3.0." + std::to_string(index + 1) + ":1"}; }
  Task<void> reportAll() {
    for (;;) {
      for (const auto& [node, boot] : boots) {
        if (silent.contains(node)) continue;
        NodeReport own = report;
        own.node = node;
        own.boot = boot;
        own.draining = draining.contains(node);
        own.services[serviceName].connectionDemand[branch] = wanted.contains(node) ? wanted.at(node) : 1;
        auto bytes = packed(own);
        for (std::size_t index = 0; index < 3; ++index)
          nodeDesk.tell(Address{"10.0.0." + std::to_string(index + 1) + ":1"}, "report", bytes);
      }
      co_await sleep(testClock, 100ms);
    }
  }
  std::uint32_t sum() {
    std::uint32_t sum = 0;
    for (const auto& [node, branches] : service().grants) sum += branches.at(branch);
    for (const auto& [node, share] : service().reserved) sum += share.connections.at(branch);
    return sum;
  }
  std::uint64_t green() { return replica(0).engine().greenLine(); }
  std::map<Address, std::uint64_t> boots;
  std::map<Address, std::uint32_t> wanted;
  std::set<Address> silent;
  std::set<Address> draining;
  TaskScope nodeReports;
};

}  // namespace

TEST_CASE("a restart of one of many nodes takes one action and changes no share") {
  ManyNodes cluster(30);
  auto green = cluster.green();
  auto grants = cluster.service().grants;
  auto node = ManyNodes::address(7);
  cluster.silent.insert(node);
  cluster.run(4s);
  cluster.silent.clear();
  cluster.boots[node] = 2;
  cluster.run(6s);
  CHECK(cluster.green() == green + 1);
  CHECK(cluster.service().grants == grants);
  CHECK(cluster.replica(0).state().nodes().at(node).boot == 2);
}

TEST_CASE("the share of one silent node of many moves when another node is short of connections, or after 15 s") {
  for (bool isShort : {true, false}) {
    CAPTURE(isShort);
    ManyNodes cluster(30, 62);
    auto node = ManyNodes::address(7);
    auto other = ManyNodes::address(3);
    auto before = cluster.service().grants.at(other).at(branch);
    cluster.silent.insert(node);
    cluster.run(4s);
    CHECK(cluster.service().grants.contains(node));
    if (isShort) cluster.wanted[other] = before + 2;
    CHECK(cluster.runUntil(isShort ? Duration{4s} : Duration{14s}, [&] {
      return !cluster.service().grants.contains(node);
    }));
    CHECK(cluster.sum() <= 62);
    REQUIRE(cluster.runUntil(30s, [&] {
      return !cluster.service().hasShares(node) && cluster.sum() == 62;
    }));
    if (isShort) CHECK(cluster.service().grants.at(other).at(branch) > before);
    CHECK_FALSE(cluster.service().hasShares(node));
  }
}

TEST_CASE("the share of one silent node of few moves at once") {
  ManyNodes cluster(3, 40);
  auto node = ManyNodes::address(1);
  cluster.silent.insert(node);
  CHECK(cluster.runUntil(4s, [&] {
    return !cluster.service().grants.contains(node);
  }));
  CHECK(cluster.service().reserved.contains(node));
  CHECK(cluster.sum() <= 40);
}

TEST_CASE("a node that is short of connections gets more although nothing else changes") {
  ManyNodes cluster(10, 40);
  auto node = ManyNodes::address(2);
  auto before = cluster.service().grants.at(node).at(branch);
  cluster.run(5s);
  cluster.wanted[node] = before + 5;
  CHECK(cluster.runUntil(5s, [&] {
    return cluster.service().grants.at(node).at(branch) >= before + 5;
  }));
  CHECK(cluster.sum() <= 40);
}

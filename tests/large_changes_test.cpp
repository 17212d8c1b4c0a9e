// Hundreds of changes of a large plan: the bytes that members keep and send stay bounded.

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "tests/control_cluster.hpp"
#include "tests/engine_cluster.hpp"

using namespace tamarindshift;
using namespace tamarindshift::testing;

namespace {

constexpr std::size_t annotationBytes = 78'000;

struct LargeChanges : ControlCluster {
  void setPartitioned(std::size_t member, bool cut) {
    auto own = "10.0.0." + std::to_string(member + 1);
    for (std::size_t other = 0; other < 3; ++other) {
      if (other == member) continue;
      auto host = "10.0.0." + std::to_string(other + 1);
      cut ? network.cut(own, host) : network.heal(own, host);
      cut ? network.cut(host, own) : network.heal(host, own);
    }
  }

  void change(std::size_t member) {
    nlohmann::json plan{{"mark", ++mark},
                        {"services", nlohmann::json::object()},
                        {"kinds", nlohmann::json::object()},
                        {"annotation", std::string(annotationBytes, static_cast<char>('a' + mark % 26))}};
    auto reply = awaitReply(replica(member).replacePlan(plan.dump()));
    INFO(reply.body);
    REQUIRE(reply.status == 200);
  }

  bool isCurrent(std::size_t member) {
    const auto& plan = replica(member).state().plan();
    return plan && plan->mark == PlanVersion{mark} && replica(member).engine().state() == EngineState::regPrim;
  }

  std::uint64_t mark = 0;
};

}  // namespace

TEST_CASE("a member that returns after hundreds of large changes catches up with few bytes") {
  auto absent = GENERATE(0, 1, 2);
  auto changes = GENERATE(60, 400);
  CAPTURE(absent, changes);
  LargeChanges cluster;
  cluster.change(0);
  auto member = static_cast<std::size_t>(absent);
  cluster.setPartitioned(member, true);
  cluster.run(3s);
  for (int number = 0; number < changes; ++number) cluster.change((member + 1 + static_cast<std::size_t>(number) % 2) % 3);
  EngineBounds bounds;
  for (std::size_t each = 0; each < 3; ++each) CHECK(cluster.replica(each).engine().greenKeptBytes() <= bounds.maxGreenKeptBytes);
  auto before = cluster.network.passedBytes();
  cluster.setPartitioned(member, false);
  REQUIRE(cluster.runUntil(5s, [&] {
    return cluster.isCurrent(0) && cluster.isCurrent(1) && cluster.isCurrent(2);
  }));
  // One copy to each of two members, and the submitted orders.
  CHECK(cluster.network.passedBytes() - before < 3 * bounds.maxGreenKeptBytes);
  cluster.change(0);
  cluster.run(1s);
  CHECK((cluster.isCurrent(0) && cluster.isCurrent(1) && cluster.isCurrent(2)));
}

TEST_CASE("the bytes that members keep do not grow with changes ordered while all members are up") {
  LargeChanges cluster;
  for (int number = 0; number < 200; ++number) cluster.change(0);
  EngineBounds bounds;
  for (std::size_t each = 0; each < 3; ++each) CHECK(cluster.replica(each).engine().greenKeptBytes() <= bounds.maxGreenKeptBytes);
}

TEST_CASE("orders beyond the waiting bytes limit are refused at once, and accepted again afterwards") {
  EngineCluster cluster(3, 5);
  cluster.paddingBytes = 100'000;
  for (std::size_t index = 0; index < 3; ++index) cluster.start(index);
  cluster.run(3s);
  for (int number = 0; number < 200; ++number) cluster.submit(1);
  auto most = cluster.bounds.maxPendingBytes / cluster.paddingBytes;
  CHECK(cluster.nodes[1]->core->engine().ongoingCount() <= most);
  cluster.run(3s);
  CHECK(cluster.acknowledged.size() <= most);
  CHECK(cluster.acknowledged.size() + 2 >= most);
  cluster.submit(1);
  cluster.run(1s);
  CHECK(cluster.acknowledged.size() > most - 2);
  cluster.verify();
  CHECK(cluster.faults.empty());
}

TEST_CASE("an order larger than the waiting bytes limit is accepted if nothing else waits") {
  EngineCluster cluster(3, 6);
  for (std::size_t index = 0; index < 3; ++index) cluster.start(index);
  cluster.run(3s);
  cluster.paddingBytes = cluster.bounds.maxPendingBytes + 1;
  cluster.submit(0);
  cluster.run(2s);
  CHECK(cluster.acknowledged.size() == 1);
}

TEST_CASE("messages that a member has not received are resent in small parts") {
  EngineCluster cluster(3, 7);
  cluster.paddingBytes = 100'000;
  for (std::size_t index = 0; index < 3; ++index) cluster.start(index);
  cluster.run(3s);
  cluster.network.cut(cluster.host(0), cluster.host(2));
  auto before = cluster.network.passedBytes();
  std::size_t orders = 40;
  for (std::size_t number = 0; number < orders; ++number) cluster.submit(0);
  cluster.run(450ms);
  auto once = 2 * orders * cluster.paddingBytes;
  // At most five heartbeats, each with a part of one mebibyte and one more order.
  CHECK(cluster.network.passedBytes() - before < once + 5 * ((1u << 20) + 2 * cluster.paddingBytes));
  cluster.network.healAll();
  cluster.run(3s);
  CHECK(cluster.acknowledged.size() == orders);
  cluster.verify();
  CHECK(cluster.faults.empty());
}

// What the platform's control address answers on a member that is cut off, behind, or raced by another operator.

#include <catch2/catch.hpp>

#include "platform/control_door.hpp"
#include "tests/discovered_cluster.hpp"
#include "tests/door_asking.hpp"
#include "tests/platform/platform_configuration.hpp"

using namespace tamarindshift;
using namespace tamarindshift::testing;

namespace {

std::pair<int, int> lowerFirst(int one, int other) {
  return {std::min(one, other), std::max(one, other)};
}

struct ControlDoors : DiscoveredCluster {
  ControlDoors() {
    for (std::size_t index = 0; index < 3; ++index)
      doors.push_back(std::make_unique<platform::ControlDoor>(replica(index), *replicaClocks[index]));
  }

  static std::string configuration(std::uint64_t revision, unsigned guard = 800) {
    PlatformConfiguration configuration;
    configuration.revision = revision;
    configuration.services = {PlatformService{"s1", 120, 0}};
    PlatformRoute route;
    route.name = "r1";
    route.hostName = "h1";
    route.targetService = "s1";
    route.guard = std::chrono::milliseconds{guard};
    configuration.routes = {route};
    return configurationJson(configuration);
  }

  Task<DoorReply> call(std::size_t index, const std::string& method, const std::string& path, std::string body = {}) {
    return doors[index]->serve(DoorRequest{method, path, std::move(body), ConnectionId{1}});
  }
  int replace(std::size_t index, const std::string& body) {
    return awaitReply(call(index, "POST", "/api/Configuration.Replace", body)).status;
  }
  int detach(std::size_t index, const std::string& id) { return awaitReply(call(index, "POST", "/api/Instances.Detach/" + id)).status; }
  DoorReply retrieve(std::size_t index) { return awaitReply(call(index, "GET", "/api/Configuration.Retrieve")); }
  int beat(std::size_t index, const std::string& id, std::uint64_t number, const std::string& condition = "in_service") {
    nlohmann::json body{{"targetService", "s1"},  {"address", "10.2.0." + id.substr(1) + ":1"},
                        {"zone", "z1"},           {"capacity", 5},
                        {"condition", condition}, {"callCount", number},
                        {"dbRole", "replica"}};
    return awaitReply(call(index, "POST", "/api/Instances.Heartbeat/" + id, body.dump())).status;
  }

  /// Sends two configurations at the same instant to two members and says which statuses came.
  std::pair<int, int> race(
      std::size_t first, const std::string& one, std::size_t second, const std::string& other,
      const std::function<void()>& between = [] {}) {
    std::optional<DoorReply> replies[2];
    TaskScope tasks;
    tasks.spawn(answering(call(first, "POST", "/api/Configuration.Replace", one), replies[0]));
    tasks.spawn(answering(call(second, "POST", "/api/Configuration.Replace", other), replies[1]));
    between();
    for (int steps = 0; steps < 2000 && !(replies[0] && replies[1]); ++steps) run(5ms);
    REQUIRE(replies[0]);
    REQUIRE(replies[1]);
    return {replies[0]->status, replies[1]->status};
  }

  void cutOff(std::size_t index) {
    for (std::size_t other = 0; other < 3; ++other) {
      if (other == index) continue;
      network.cut(host(index), host(other));
      network.cut(host(other), host(index));
    }
  }
  static std::string host(std::size_t index) { return "10.0.0." + std::to_string(index + 1); }
  bool enrolledAt(std::size_t index, const std::string& id) {
    return replica(index).state().enrolled(ServiceName{"s1"}, DatabaseName{id}) != nullptr;
  }

  std::vector<std::unique_ptr<platform::ControlDoor>> doors;
};

}  // namespace

TEST_CASE("a control machine that is cut off for twenty seconds confirms, refuses and hands out nothing, from its first second on") {
  ControlDoors cluster;
  REQUIRE(cluster.replace(0, cluster.configuration(10)) == 200);
  cluster.run(1s);
  cluster.cutOff(2);
  cluster.databases.at("d3").heartbeatsStopped = true;
  for (int second = 0; second < 20; ++second) {
    INFO("second " << second);
    CHECK(cluster.replace(2, cluster.configuration(10)) >= 500);
    CHECK(cluster.replace(2, cluster.configuration(9)) >= 500);
    CHECK(cluster.replace(2, cluster.configuration(10, 900)) >= 500);
    CHECK(cluster.retrieve(2).status == 503);
    CHECK(cluster.detach(2, "unheard-of") == 503);
    CHECK(cluster.detach(2, "d2") == 503);
    CHECK(cluster.beat(2, "d3", 1000 + second, "quiescing") == 503);
    cluster.run(1s);
  }
  REQUIRE(cluster.replace(0, cluster.configuration(11)) == 200);
  cluster.network.healAll();
  REQUIRE(cluster.runUntil(4s, [&] {
    return cluster.retrieve(2).status == 200;
  }));
  CHECK(nlohmann::json::parse(cluster.retrieve(2).body).at("revision") == 11);
  CHECK(cluster.replace(2, cluster.configuration(11)) == 200);
}

TEST_CASE("two operators under one number: one is confirmed and one is refused, whatever comes after") {
  ControlDoors cluster;
  for (std::uint64_t revision = 10; revision < 30; ++revision) {
    INFO("revision " << revision);
    auto first = cluster.configuration(revision, 700);
    auto second = cluster.configuration(revision, 900);
    auto [one, other] = cluster.race(revision % 3, first, (revision + 1) % 3, second);
    CHECK(lowerFirst(one, other) == std::pair{200, 409});
    const auto& winner = one == 200 ? first : second;
    const auto& loser = one == 200 ? second : first;
    for (std::size_t index = 0; index < 3; ++index) {
      CHECK(cluster.replace(index, winner) == 200);
      CHECK(cluster.replace(index, loser) == 409);
      CHECK(cluster.retrieve(index).body == winner);
    }
  }
  // orders that are sent again after newer ones end as they did the first time
  CHECK(cluster.race(0, cluster.configuration(12, 700), 1, cluster.configuration(12, 900)) != std::pair{409, 409});
  auto held = cluster.retrieve(0).body;
  CHECK(lowerFirst(cluster.replace(2, cluster.configuration(12, 700)), cluster.replace(1, cluster.configuration(12, 900))) ==
        std::pair{200, 409});
  CHECK(cluster.retrieve(1).body == held);
}

TEST_CASE("of two operators under one number exactly one is confirmed also across a change of view") {
  for (int milliseconds = 0; milliseconds < 60; milliseconds += 3) {
    ControlDoors cluster;
    auto first = cluster.configuration(10, 700);
    auto second = cluster.configuration(10, 900);
    auto [one, other] = cluster.race(0, first, 1, second, [&] {
      cluster.run(std::chrono::milliseconds{milliseconds} / 2);
      cluster.cutOff(milliseconds % 2 == 0 ? 0 : 1);
    });
    INFO("cut after " << milliseconds << " half milliseconds: " << one << " and " << other);
    CHECK_FALSE((one == 200 && other == 200));
    cluster.network.healAll();
    cluster.run(4s);
    auto again = std::pair{cluster.replace(2, first), cluster.replace(1, second)};
    CHECK((again == std::pair{200, 409} || again == std::pair{409, 200}));
    if (one == 200) CHECK(again.first == 200);
    if (other == 200) CHECK(again.second == 200);
  }
}

TEST_CASE("an overtaken version that was never in force is acknowledged, alters nothing, and belongs to its first content") {
  ControlDoors cluster;
  REQUIRE(cluster.replace(0, cluster.configuration(20)) == 200);
  CHECK(cluster.replace(1, cluster.configuration(15, 700)) == 200);
  CHECK(cluster.replace(2, cluster.configuration(15, 700)) == 200);
  CHECK(cluster.replace(2, cluster.configuration(15, 900)) == 409);
  CHECK(nlohmann::json::parse(cluster.retrieve(1).body).at("revision") == 20);
}

TEST_CASE("an acknowledged Detach keeps a database out, also where it was not known and a heartbeat comes late") {
  ControlDoors cluster;
  CHECK(cluster.detach(1, "d7") == 200);
  CHECK(cluster.beat(2, "d7", 3) == 200);
  CHECK(cluster.beat(0, "d7", 4) == 200);
  cluster.run(1s);
  CHECK_FALSE(cluster.enrolledAt(0, "d7"));
  CHECK(cluster.beat(0, "d8", 3) == 200);
  CHECK(cluster.enrolledAt(0, "d8"));
}

TEST_CASE("a database that sends Detach first and goes on beating is not taken in again") {
  ControlDoors cluster;
  cluster.databases.at("d3").heartbeatsStopped = true;
  CHECK(cluster.detach(1, "d3") == 200);
  for (std::uint64_t number = 100; number < 108; ++number) {
    CHECK(cluster.beat(number % 3, "d3", number) == 200);
    cluster.run(1s);
    CHECK((!cluster.enrolledAt(0, "d3") || cluster.replica(0).state().drainMark(ServiceName{"s1"}, DatabaseName{"d3"})));
  }
  CHECK_FALSE(cluster.enrolledAt(0, "d3"));
}

TEST_CASE("a heartbeat that says quiescing is acknowledged by no member before the drain is ordered, though another relayed it") {
  ControlDoors cluster;
  cluster.databases.at("d3").heartbeatsStopped = true;
  cluster.run(100ms);
  // the first member hears it, relays it and loses the group before it could order the drain
  TaskScope tasks;
  std::optional<DoorReply> first;
  nlohmann::json body{{"targetService", "s1"},    {"address", "10.2.0.3:1"}, {"zone", "z1"},       {"capacity", 5},
                      {"condition", "quiescing"}, {"callCount", 900},        {"dbRole", "replica"}};
  tasks.spawn(answering(cluster.call(2, "POST", "/api/Instances.Heartbeat/d3", body.dump()), first));
  cluster.run(1ms);
  cluster.cutOff(2);
  cluster.run(1ms);
  REQUIRE(cluster.replica(0).reports().database(ServiceName{"s1"}, DatabaseName{"d3"})->heartbeat.leaving);
  std::optional<DoorReply> again;
  tasks.spawn(answering(cluster.call(0, "POST", "/api/Instances.Heartbeat/d3", body.dump()), again));
  for (int steps = 0; steps < 4000 && !again; ++steps) cluster.run(1ms);
  REQUIRE(again);
  CHECK((again->status != 200 || cluster.replica(0).state().drainMark(ServiceName{"s1"}, DatabaseName{"d3"})));
}

TEST_CASE("a database whose id is no plain text is refused and keeps no page from being shown") {
  ControlDoors cluster;
  REQUIRE(cluster.replace(0, cluster.configuration(10)) == 200);
  cluster.run(1s);
  auto beat = [&](const std::string& id, const std::string& address, const std::string& zone) {
    nlohmann::json body{{"targetService", "s1"},     {"address", address}, {"zone", zone},       {"capacity", 5},
                        {"condition", "in_service"}, {"callCount", 1},     {"dbRole", "replica"}};
    return cluster.awaitReply(cluster.call(0, "POST", "/api/Instances.Heartbeat/" + id, body.dump())).status;
  };
  CHECK(beat("i-\xff\xfe", "10.2.0.9:1", "z1") == 400);
  CHECK(beat("i 9", "10.2.0.9:1", "z1") == 400);
  CHECK(beat(std::string(300, 'i'), "10.2.0.9:1", "z1") == 400);
  CHECK(beat("i9", "no address", "z1") == 400);
  CHECK(beat("i9", "10.2.0.9:1\r\nX: y", "z1") == 400);
  CHECK(beat("i9", "10.2.0.9:1", std::string(1 << 20, 'z')) == 400);
  CHECK(cluster.awaitReply(cluster.call(0, "POST", "/api/Instances.Detach/i-\xff")).status == 400);
  cluster.run(1s);
  CHECK(cluster.awaitReply(cluster.call(0, "GET", "/status")).status == 200);
  CHECK(beat("i9", "10.2.0.9:1", "z1") == 200);
}

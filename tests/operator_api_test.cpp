#include "tests/fleet_trial.hpp"

using namespace tamarindshift;
using Json = nlohmann::json;

namespace {

struct ApiTrial : FleetTrial {
  ApiTrial() : FleetTrial(shape()) { sendFirstPlan(3s); }
  static FleetShape shape() {
    auto shape = machines(2);
    CallerKind kind;
    kind.kind = KindName{"counter1"};
    kind.service = ServiceName{"s1"};
    kind.callers = 4;
    shape.callers = {kind};
    return shape;
  }
  DoorReply ask(std::size_t replica, const std::string& method, const std::string& path, const std::string& body = {}) {
    return FleetTrial::ask(*fleet.replicas()[replica]->door, DoorRequest{method, path, body, ConnectionId{7}});
  }
  std::uint64_t counter(std::size_t replica, const std::string& name) {
    const auto& counters = fleet.replicas()[replica]->journal->counters();
    auto found = counters.find(name);
    return found == counters.end() ? 0 : found->second;
  }
  static std::string heartbeat(Json changes) {
    Json heartbeat{{"service", "s1"},   {"database", "d2"}, {"boot", 5},     {"number", 1},
                   {"role", "replica"}, {"epoch", 1},       {"position", 0}, {"contact_age_ms", 0}};
    heartbeat.update(changes);
    return heartbeat.dump();
  }
  void partition(std::size_t replica) {
    for (std::size_t other = 0; other < 3; ++other) {
      if (other == replica) continue;
      fleet.network().cut(fleet.replicas()[replica]->host, fleet.replicas()[other]->host);
      fleet.network().cut(fleet.replicas()[other]->host, fleet.replicas()[replica]->host);
    }
  }
};

}  // namespace

TEST_CASE("a replica that is partitioned from the group does not return an old plan as the current one") {
  ApiTrial core;
  CHECK(Json::parse(core.ask(2, "GET", "/plan").body).at("mark") == 1);
  core.partition(2);
  core.fleet.run(3s);
  core.fleet.sendPlan(0, 2, core.fleet.planText(StandinPlanChoice{2}), true);
  core.fleet.run(2s);
  CHECK(Json::parse(core.ask(0, "GET", "/plan").body).at("mark") == 2);
  auto reply = core.ask(2, "GET", "/plan");
  CHECK(reply.status == 503);
  CHECK(reply.comeBack);
}

TEST_CASE("malformed, unplanned and outdated heartbeats and Detaches get a status and have no effect") {
  ApiTrial core;
  auto green = core.fleet.replicas()[0]->node->engine().greenLine();
  auto unplanned = core.counter(0, "heartbeats.unplanned");
  for (const char* path : {"/heartbeat", "/detach"}) {
    CHECK(core.ask(0, "POST", path, core.heartbeat({{"service", "unheard-of"}})).status == 404);
    CHECK(core.ask(0, "POST", path, core.heartbeat({{"database", "unheard-of"}})).status == 404);
    CHECK(core.ask(0, "GET", path).status == 405);
    for (const auto& [key, value] : std::map<std::string, Json>{
             {"number", -1}, {"epoch", -7}, {"position", 1.5}, {"boot", "x"}, {"contact_age_ms", -1000}, {"role", "king"}, {"service", 5}})
      CHECK(core.ask(0, "POST", path, core.heartbeat({{key, value}})).status == 400);
    CHECK(core.ask(0, "POST", path, "{").status == 400);
    CHECK(core.ask(0, "POST", path, "[]").status == 400);
  }
  CHECK(core.counter(0, "heartbeats.unplanned") == unplanned + 4);
  CHECK(core.counter(0, "heartbeats.malformed") == 18);
  CHECK(core.fleet.replicas()[0]->node->engine().greenLine() == green);
  auto newest = core.fleet.replicas()[0]->node->reports().database(ServiceName{"s1"}, DatabaseName{"d2"})->heartbeat;
  CHECK(core.ask(0, "POST", "/heartbeat", core.heartbeat({{"boot", newest.boot - 1}, {"number", 1000}, {"position", 999}})).status == 200);
  CHECK(core.ask(0, "POST", "/heartbeat", core.heartbeat({{"boot", newest.boot}, {"number", newest.number}, {"position", 999}})).status ==
        200);
  CHECK(core.counter(0, "heartbeats.older") >= 2);
  CHECK(core.fleet.replicas()[0]->node->reports().database(ServiceName{"s1"}, DatabaseName{"d2"})->heartbeat.position < Position{999});
  CHECK(core.ask(0, "POST", "/heartbeat",
                 core.heartbeat({{"boot", ~0ull}, {"number", ~0ull}, {"epoch", ~0ull}, {"position", ~0ull}, {"contact_age_ms", ~0ull}}))
            .status == 200);
  core.fleet.run(5s);
  CHECK(core.fleet.replicas()[0]->node->state().services().at(ServiceName{"s1"}).primary == DatabaseName{"d1"});
  CHECK(core.ask(0, "DELETE", "/members/nowhere").status == 404);
  CHECK(core.ask(0, "DELETE", "/members/").status == 404);
  CHECK(core.ask(0, "GET", "/members/10.0.0.1:1").status == 405);
}

TEST_CASE("truncated, misdirected and random messages between processes have no effect") {
  ApiTrial core;
  auto& network = core.fleet.network();
  auto& world = core.fleet.world();
  std::vector<Address> processes;
  for (const auto& replica : core.fleet.replicas()) processes.push_back(Address{replica->host + ":1"});
  for (const auto& machine : core.fleet.machines()) {
    processes.push_back(Address{machine->host + ":1"});
    processes.push_back(Address{machine->host + ":2"});
  }
  const std::vector<MessageType> matters{MessageType::groupHeartbeat, MessageType::groupSubmit,
                                         MessageType::groupOrdered,   MessageType::groupAcked,
                                         MessageType::groupSafe,      MessageType::groupPrepare,
                                         MessageType::groupFlushed,   MessageType::groupInstall,
                                         MessageType::joinRequest,    MessageType::joinSnapshot,
                                         MessageType::removalNotice,  MessageType::request,
                                         MessageType::reply,          MessageType{99}};
  auto message = packed(std::tuple(std::string("follow"), std::uint64_t{7}, std::vector<std::string>{"a", "b"}));
  for (int round = 0; round < 4000; ++round) {
    const auto& from = processes[world.below(processes.size())];
    const auto& to = processes[world.below(processes.size())];
    std::string body;
    if (world.below(2) == 0)
      body = message.substr(0, world.below(message.size()));
    else
      for (auto size = world.below(40); size > 0; --size) body.push_back(static_cast<char>(world.below(256)));
    network.pass(from, to, Envelope{matters[world.below(matters.size())], body});
    if (round % 40 == 0) core.fleet.run(20ms);
  }
  core.fleet.sendPlan(1, 2, core.fleet.planText(StandinPlanChoice{2}), true);
  core.fleet.run(3s);
  CHECK(core.fleet.plans().all().back().status == 200);
  auto done = core.fleet.callers().operations().size();
  core.fleet.run(2s);
  CHECK(core.fleet.callers().operations().size() > done + 20);
  CHECK(core.counter(0, "group.unreadable") > 0);
}

#include "client/calls.hpp"
#include "control/heartbeat_json.hpp"
#include "tests/fleet_trial.hpp"
#include "tests/schema_check.hpp"

using namespace tamarindshift;
using Json = nlohmann::json;

namespace {

struct ClientTrial : FleetTrial {
  ClientTrial() : FleetTrial(machines(2)) {}
  DoorReply kept(const std::string& door, DoorKeeper& keeper, const std::string& call, const client::Request& request) {
    auto reply = ask(keeper, DoorRequest{request.method, request.path, request.body, ConnectionId{7}});
    INFO(door << " " << request.method << " " << request.path << " -> " << reply.status << " " << reply.body);
    CHECK(check.faults(door, call, reply) == std::vector<std::string>{});
    return reply;
  }
  template <class Body>
  Body body(const DoorReply& reply, int status) {
    INFO(reply.body);
    CHECK(reply.status == status);
    auto read = client::read<Body>(reply.body);
    REQUIRE(read);
    CHECK(Json(*read) == Json::parse(reply.body));
    return *read;
  }
  OperatorApi& replica(std::size_t index = 0) { return *fleet.replicas()[index]->door; }
  DoorKeeper& proxy() { return *fleet.machines()[0]->door; }
  AgentNode& agent() { return *fleet.machines()[0]->agent; }
  client::Plan plan(std::uint64_t mark) {
    auto read = client::read<client::Plan>(fleet.planText(StandinPlanChoice{mark}));
    REQUIRE(read);
    return *read;
  }
  SchemaCheck check;
};

client::Run statement(const std::string& text, bool reads = false) {
  client::Run run;
  run.text = text;
  run.reads = reads;
  return run;
}

client::Run operation(const std::string& name) {
  client::Run run;
  run.operation = name;
  return run;
}

client::Heartbeat heartbeat() {
  client::Heartbeat heartbeat;
  heartbeat.service = "s1";
  heartbeat.database = "d2";
  heartbeat.number = 1;
  heartbeat.role = "replica";
  heartbeat.epoch = 1;
  return heartbeat;
}

}  // namespace

TEST_CASE("the client's plans and heartbeats are what the doors read") {
  ClientTrial trial;
  using namespace client;
  auto plan = trial.plan(1);
  CHECK(trial.check.faults("Plan", Json(plan)).empty());
  auto early = trial.body<Refusal>(trial.kept("replica", trial.replica(), "plan", replica::plan()), 404);
  CHECK(early.reason == "no plan is held yet");
  auto held = trial.body<PlanHeld>(trial.kept("replica", trial.replica(), "replacePlan", replica::replacePlan(plan)), 200);
  CHECK(held.mark == 1);
  auto given = trial.body<client::Plan>(trial.kept("replica", trial.replica(1), "plan", replica::plan()), 200);
  CHECK(Json(given) == Json(plan));
  plan.kinds.begin()->second.order = 7;
  auto older = trial.body<PlanNotNewer>(trial.kept("replica", trial.replica(), "replacePlan", replica::replacePlan(plan)), 409);
  CHECK(older.mark == 1);
  plan.mark = 2;
  plan.kinds.begin()->second.service = "unheard-of";
  auto broken = trial.body<PlanBroken>(trial.kept("replica", trial.replica(), "replacePlan", replica::replacePlan(plan)), 400);
  REQUIRE(broken.faults.size() == 1);
  CHECK(broken.faults[0].path.starts_with("kinds."));

  auto sent = heartbeat();
  sent.contactAgeMs = 250;
  auto read = heartbeatFromJson(Json(sent).dump());
  REQUIRE(read);
  CHECK(read->contactAge == 250ms);
  trial.body<Empty>(trial.kept("replica", trial.replica(), "heartbeat", replica::heartbeat(sent)), 200);
  trial.body<Empty>(trial.kept("agent", trial.agent(), "heartbeat", agent::heartbeat(sent)), 200);
  sent.service = "unheard-of";
  trial.body<Refusal>(trial.kept("replica", trial.replica(), "heartbeat", replica::heartbeat(sent)), 404);
  trial.body<Refusal>(trial.kept("replica", trial.replica(), "detach", replica::detach(sent)), 404);
  sent.role = "king";
  trial.body<Refusal>(trial.kept("agent", trial.agent(), "heartbeat", agent::heartbeat(sent)), 400);
  trial.body<Refusal>(trial.kept("replica", trial.replica(), "removeMember", replica::removeMember("10.9.9.9:1")), 404);
}

TEST_CASE("the client's sessions run at the proxy's door") {
  ClientTrial trial;
  using namespace client;
  CHECK(trial.body<Refusal>(trial.kept("proxy", trial.proxy(), "ready", proxy::ready()), 503).comeBackMs > 0u);
  trial.kept("replica", trial.replica(), "replacePlan", replica::replacePlan(trial.plan(1)));
  trial.fleet.run(4s);
  trial.body<Empty>(trial.kept("proxy", trial.proxy(), "ready", proxy::ready()), 200);
  auto open = [&] {
    return trial.body<OpenedSession>(trial.kept("proxy", trial.proxy(), "openSession", proxy::openSession({"counter1", {}})), 201).session;
  };
  auto run = [&](const std::string& session, const Run& asked, int status = 200) {
    CHECK(trial.check.faults("Run", Json(asked)).empty());
    return trial.body<RunReply>(trial.kept("proxy", trial.proxy(), "run", proxy::run(session, asked)), status);
  };
  auto session = open();
  CHECK(run(session, statement("put a 1")).outcome == "done");
  auto got = run(session, statement("get a", true));
  CHECK(got.result == "1");
  CHECK(got.database);
  run(session, operation("begin"));
  run(session, statement("put a 2"));
  CHECK(run(session, operation("commit")).position > got.position);
  Run prepared = operation("prepare");
  prepared.name = "put";
  prepared.text = "put $1 $2";
  run(session, prepared);
  Run executed = operation("execute");
  executed.name = "put";
  executed.parameters = {Json("b"), Json(nullptr)};
  run(session, executed);
  trial.body<Refusal>(trial.kept("proxy", trial.proxy(), "run", proxy::run(session, statement(std::string(2 << 20, 'x')))), 413);
  trial.body<Refusal>(trial.kept("proxy", trial.proxy(), "run", proxy::run(session, operation("dance"))), 400);
  CHECK(run(session, operation("commit"), 409).outcome == "refused");
  run(session, operation("begin"));
  trial.proxy().gone(ConnectionId{7});
  trial.fleet.run(200ms);
  CHECK(run(session, operation("commit"), 410).outcome == "lost");
  auto other = open();
  trial.body<Empty>(trial.kept("proxy", trial.proxy(), "closeSession", proxy::closeSession(other)), 200);
  trial.body<Refusal>(trial.kept("proxy", trial.proxy(), "run", proxy::run(other, statement("get a", true))), 404);
  trial.body<Refusal>(trial.kept("proxy", trial.proxy(), "openSession", proxy::openSession({"unheard-of", {}})), 403);
  OpenSession after{"counter1", std::map<std::string, std::uint64_t>{{"s1", 1}}};
  trial.body<OpenedSession>(trial.kept("proxy", trial.proxy(), "openSession", proxy::openSession(after)), 201);
}

TEST_CASE("what the doors show stays within the schema, from the start and through a lost machine and a lost primary") {
  ClientTrial trial;
  using namespace client;
  auto look = [&] {
    for (std::size_t index = 0; index < 3; ++index) {
      trial.body<ReplicaStatus>(trial.kept("replica", trial.replica(index), "status", replica::status()), 200);
      trial.body<Counters>(trial.kept("replica", trial.replica(index), "counters", replica::counters()), 200);
      trial.kept("replica", trial.replica(index), "ready", replica::ready());
    }
    trial.body<ProxyStatus>(trial.kept("proxy", trial.proxy(), "status", proxy::status()), 200);
    trial.body<Counters>(trial.kept("proxy", trial.proxy(), "counters", proxy::counters()), 200);
    trial.body<AgentStatus>(trial.kept("agent", trial.agent(), "status", agent::status()), 200);
    trial.body<Counters>(trial.kept("agent", trial.agent(), "counters", agent::counters()), 200);
    trial.kept("agent", trial.agent(), "ready", agent::ready());
  };
  look();
  trial.kept("replica", trial.replica(), "replacePlan", replica::replacePlan(trial.plan(1)));
  for (int step = 0; step < 20; ++step) {
    trial.fleet.run(100ms);
    look();
  }
  const auto& lost = trial.fleet.machines()[1]->host;
  for (const auto& other : trial.fleet.replicas()) {
    trial.fleet.network().cut(lost, other->host);
    trial.fleet.network().cut(other->host, lost);
  }
  trial.fleet.crashDatabase(trial.fleet.database(1, 1));
  for (int step = 0; step < 40; ++step) {
    trial.fleet.run(100ms);
    look();
  }
}

TEST_CASE("a reply that leaves the schema is noticed") {
  SchemaCheck check;
  auto faults = [&](const std::string& body, int status = 200) {
    return check.faults("proxy", "run", DoorReply{status, body, std::nullopt});
  };
  CHECK(faults(R"({"outcome":"done","position":3})").empty());
  CHECK(faults(R"({"outcome":"done","position":3})", 201).size() == 1);
  CHECK(faults(R"({"outcome":"done","position":"3"})").size() == 1);
  CHECK(faults(R"({"outcome":"done","position":-3})").size() == 1);
  CHECK(faults(R"({"outcome":"perhaps"})").size() == 1);
  CHECK(faults(R"({"position":3})").size() == 1);
  CHECK(faults(R"({"outcome":"done","more":3})").size() == 1);
  CHECK(faults("{").size() == 1);
  CHECK(faults(R"({"reason":"busy"})", 409).empty());
  CHECK(check.faults("replica", "counters", DoorReply{200, R"({"a":1.5})", std::nullopt}).size() == 1);
}

TEST_CASE("every body of the schema that a call names is there, and no body is without a call") {
  SchemaCheck check;
  std::set<std::string> named;
  const auto& bodies = check.schema().at("$defs");
  std::function<void(const Json&)> refer = [&](const Json& schema) {
    if (schema.is_object() && schema.contains("$ref")) {
      auto name = schema.at("$ref").get<std::string>().substr(8);
      if (named.insert(name).second) refer(bodies.at(name));
    } else if (schema.is_structured()) {
      for (const auto& each : schema) refer(each);
    }
  };
  for (const auto& door : check.schema().at("doors"))
    for (const auto& call : door) {
      std::vector<std::string> own;
      if (call.contains("body")) own.push_back(call.at("body"));
      for (const auto& reply : call.at("replies"))
        for (const auto& name : reply) own.push_back(name);
      for (const auto& name : own) {
        REQUIRE(bodies.contains(name));
        if (named.insert(name).second) refer(bodies.at(name));
      }
    }
  for (const auto& [name, schema] : bodies.items()) {
    CAPTURE(name);
    CHECK(named.contains(name));
  }
}

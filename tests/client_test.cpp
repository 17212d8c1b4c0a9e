#include "client/calls.hpp"
#include "control/heartbeat_json.hpp"
#include "tests/fleet_trial.hpp"
#include "tests/schema_check.hpp"

using namespace tamarindshift;
using Json = nlohmann::json;

namespace {

struct ClientFixture : FleetTrial {
  ClientFixture() : FleetTrial(machines(2)) {}
  DoorReply checkedReply(const std::string& door, DoorKeeper& keeper, const std::string& call, const client::Request& request) {
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

TEST_CASE("generated client: plans and heartbeats are accepted by the endpoints") {
  ClientFixture fixture;
  using namespace client;
  auto plan = fixture.plan(1);
  CHECK(fixture.check.faults("Plan", Json(plan)).empty());
  auto early = fixture.body<Refusal>(fixture.checkedReply("replica", fixture.replica(), "plan", replica::plan()), 404);
  CHECK(early.reason == "no plan is held yet");
  auto held = fixture.body<PlanHeld>(fixture.checkedReply("replica", fixture.replica(), "replacePlan", replica::replacePlan(plan)), 200);
  CHECK(held.mark == 1);
  auto given = fixture.body<client::Plan>(fixture.checkedReply("replica", fixture.replica(1), "plan", replica::plan()), 200);
  CHECK(Json(given) == Json(plan));
  plan.kinds.begin()->second.order = 7;
  auto older =
      fixture.body<PlanNotNewer>(fixture.checkedReply("replica", fixture.replica(), "replacePlan", replica::replacePlan(plan)), 409);
  CHECK(older.mark == 1);
  plan.mark = 2;
  plan.kinds.begin()->second.service = "unheard-of";
  auto broken =
      fixture.body<PlanBroken>(fixture.checkedReply("replica", fixture.replica(), "replacePlan", replica::replacePlan(plan)), 400);
  REQUIRE(broken.faults.size() == 1);
  CHECK(broken.faults[0].path.starts_with("kinds."));

  auto sent = heartbeat();
  sent.contactAgeMs = 250;
  auto read = heartbeatFromJson(Json(sent).dump());
  REQUIRE(read);
  CHECK(read->contactAge == 250ms);
  fixture.body<Empty>(fixture.checkedReply("replica", fixture.replica(), "heartbeat", replica::heartbeat(sent)), 200);
  fixture.body<Empty>(fixture.checkedReply("agent", fixture.agent(), "heartbeat", agent::heartbeat(sent)), 200);
  sent.service = "unheard-of";
  fixture.body<Refusal>(fixture.checkedReply("replica", fixture.replica(), "heartbeat", replica::heartbeat(sent)), 404);
  fixture.body<Refusal>(fixture.checkedReply("replica", fixture.replica(), "detach", replica::detach(sent)), 404);
  sent.role = "king";
  fixture.body<Refusal>(fixture.checkedReply("agent", fixture.agent(), "heartbeat", agent::heartbeat(sent)), 400);
  fixture.body<Refusal>(fixture.checkedReply("replica", fixture.replica(), "removeMember", replica::removeMember("10.9.9.9:1")), 404);
}

TEST_CASE("generated client: sessions run at the proxy's endpoint") {
  ClientFixture fixture;
  using namespace client;
  CHECK(fixture.body<Refusal>(fixture.checkedReply("proxy", fixture.proxy(), "ready", proxy::ready()), 503).comeBackMs > 0u);
  fixture.checkedReply("replica", fixture.replica(), "replacePlan", replica::replacePlan(fixture.plan(1)));
  fixture.fleet.run(4s);
  fixture.body<Empty>(fixture.checkedReply("proxy", fixture.proxy(), "ready", proxy::ready()), 200);
  auto open = [&] {
    return fixture
        .body<OpenedSession>(fixture.checkedReply("proxy", fixture.proxy(), "openSession", proxy::openSession({"counter1", {}})), 201)
        .session;
  };
  auto run = [&](const std::string& session, const Run& asked, int status = 200) {
    CHECK(fixture.check.faults("Run", Json(asked)).empty());
    return fixture.body<RunReply>(fixture.checkedReply("proxy", fixture.proxy(), "run", proxy::run(session, asked)), status);
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
  fixture.body<Refusal>(fixture.checkedReply("proxy", fixture.proxy(), "run", proxy::run(session, statement(std::string(2 << 20, 'x')))),
                        413);
  fixture.body<Refusal>(fixture.checkedReply("proxy", fixture.proxy(), "run", proxy::run(session, operation("dance"))), 400);
  CHECK(run(session, operation("commit"), 409).outcome == "refused");
  run(session, operation("begin"));
  fixture.proxy().gone(ConnectionId{7});
  fixture.fleet.run(200ms);
  CHECK(run(session, operation("commit"), 410).outcome == "lost");
  auto other = open();
  fixture.body<Empty>(fixture.checkedReply("proxy", fixture.proxy(), "closeSession", proxy::closeSession(other)), 200);
  fixture.body<Refusal>(fixture.checkedReply("proxy", fixture.proxy(), "run", proxy::run(other, statement("get a", true))), 404);
  fixture.body<Refusal>(fixture.checkedReply("proxy", fixture.proxy(), "openSession", proxy::openSession({"unheard-of", {}})), 403);
  OpenSession after{"counter1", std::map<std::string, std::uint64_t>{{"s1", 1}}};
  fixture.body<OpenedSession>(fixture.checkedReply("proxy", fixture.proxy(), "openSession", proxy::openSession(after)), 201);
}

TEST_CASE("schema: replies of all endpoints conform, from the start and through the loss of a machine and of a primary") {
  ClientFixture fixture;
  using namespace client;
  auto look = [&] {
    for (std::size_t index = 0; index < 3; ++index) {
      fixture.body<ReplicaStatus>(fixture.checkedReply("replica", fixture.replica(index), "status", replica::status()), 200);
      fixture.body<Counters>(fixture.checkedReply("replica", fixture.replica(index), "counters", replica::counters()), 200);
      fixture.checkedReply("replica", fixture.replica(index), "ready", replica::ready());
    }
    fixture.body<ProxyStatus>(fixture.checkedReply("proxy", fixture.proxy(), "status", proxy::status()), 200);
    fixture.body<Counters>(fixture.checkedReply("proxy", fixture.proxy(), "counters", proxy::counters()), 200);
    fixture.body<AgentStatus>(fixture.checkedReply("agent", fixture.agent(), "status", agent::status()), 200);
    fixture.body<Counters>(fixture.checkedReply("agent", fixture.agent(), "counters", agent::counters()), 200);
    fixture.checkedReply("agent", fixture.agent(), "ready", agent::ready());
  };
  look();
  fixture.checkedReply("replica", fixture.replica(), "replacePlan", replica::replacePlan(fixture.plan(1)));
  for (int step = 0; step < 20; ++step) {
    fixture.fleet.run(100ms);
    look();
  }
  const auto& lost = fixture.fleet.machines()[1]->host;
  for (const auto& other : fixture.fleet.replicas()) {
    fixture.fleet.network().cut(lost, other->host);
    fixture.fleet.network().cut(other->host, lost);
  }
  fixture.fleet.crashDatabase(fixture.fleet.database(1, 1));
  for (int step = 0; step < 40; ++step) {
    fixture.fleet.run(100ms);
    look();
  }
}

TEST_CASE("schema: a reply that does not conform is reported") {
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

TEST_CASE("schema: every body that a call names is defined, and every defined body is used by a call") {
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

#include "tests/fleet_trial.hpp"

using namespace tamarindshift;
using Json = nlohmann::json;

namespace {

struct OneProxy : FleetTrial {
  OneProxy() : FleetTrial(machines(1)) { sendFirstPlan(4s); }
  SessionDoor& door() { return *fleet.machines()[0]->door; }
  DoorReply ask(const std::string& method, const std::string& path, const std::string& body = {}, std::uint64_t connection = 7) {
    return FleetTrial::ask(door(), DoorRequest{method, path, body, ConnectionId{connection}});
  }
  std::string open(const std::string& kind = "counter1") {
    auto reply = ask("POST", "/sessions", Json{{"kind", kind}}.dump());
    REQUIRE(reply.status == 201);
    return "/sessions/" + Json::parse(reply.body).at("session").get<std::string>();
  }
  Json run(const std::string& session, const Json& body, int status = 200) {
    auto reply = ask("POST", session + "/run", body.dump());
    INFO(reply.body);
    CHECK(reply.status == status);
    return Json::parse(reply.body);
  }
};

}  // namespace

TEST_CASE("bad input has a status and a reason each, and never reaches a database") {
  OneProxy proxy;
  auto session = proxy.open();
  auto status = [&](const std::string& method, const std::string& path, const std::string& body) {
    auto reply = proxy.ask(method, path, body);
    CHECK(Json::parse(reply.body).contains("reason"));
    return reply.status;
  };
  CHECK(status("POST", "/sessions", "{") == 400);
  CHECK(status("POST", "/sessions", "[]") == 400);
  CHECK(status("POST", "/sessions", R"({"kind":5})") == 400);
  CHECK(status("POST", "/sessions", R"({"kind":"counter1","more":1})") == 400);
  CHECK(status("POST", "/sessions", R"({"kind":"unheard-of"})") == 403);
  CHECK(status("GET", "/sessions", "") == 405);
  CHECK(status("POST", "/sessions/none/run", "{}") == 404);
  CHECK(status("GET", session + "/run", "") == 405);
  CHECK(status("POST", session + "/walk", "{}") == 404);
  CHECK(status("POST", session + "/run", "{\"text\":\"\xff\"}") == 400);
  CHECK(status("POST", session + "/run", R"({"text":"\ud800"})") == 400);
  CHECK(status("POST", session + "/run", R"({"text":5})") == 400);
  CHECK(status("POST", session + "/run", R"({"operation":"dance","text":"x"})") == 400);
  CHECK(status("POST", session + "/run", R"({"operation":"commit","text":"x"})") == 400);
  CHECK(status("POST", session + "/run", R"({"operation":"execute","name":"n","parameters":[1]})") == 400);
  CHECK(status("POST", session + "/run", R"({"text":"x","reads":"yes"})") == 400);
  CHECK(status("POST", session + "/run", Json{{"text", std::string(2 << 20, 'x')}}.dump()) == 413);
  CHECK(status("POST", session + "/run", R"({"operation":"commit"})") == 409);
  CHECK(status("POST", session + "/run", R"({"operation":"execute","name":"n"})") == 409);
  CHECK(status("GET", "/nothing", "") == 404);
  CHECK(status("POST", "/ready", "") == 405);
  for (const auto& database : proxy.fleet.databases()) CHECK(database->node->history().empty());
}

TEST_CASE("texts and parameters reach the database byte for byte") {
  OneProxy proxy;
  auto session = proxy.open();
  std::vector<std::string> texts{"",
                                 " ",
                                 "say \"it's\" \\ / \b\f\n\r\t",
                                 std::string("nul \0 inside", 12),
                                 "é ж 漢字 \U0001F98A \u202e",
                                 "123456789012345678901234567890.000000000000000001e400",
                                 std::string(300000, 'q')};
  for (const auto& text : texts) proxy.run(session, Json{{"text", text}});
  std::vector<std::string> seen;
  for (const auto& database : proxy.fleet.databases())
    for (const auto& entry : database->node->history()) seen.push_back(entry.request.text);
  CHECK(seen == texts);
}

TEST_CASE("a session keeps its transaction, its values and its shapes to itself") {
  OneProxy proxy;
  auto first = proxy.open();
  auto second = proxy.open();
  proxy.run(first, {{"operation", "begin"}});
  proxy.run(first, {{"text", "put a 1"}});
  CHECK(proxy.run(second, {{"text", "get a"}, {"reads", true}})["result"] == "");
  CHECK(proxy.run(first, {{"operation", "begin"}}, 409)["outcome"] == "refused");
  proxy.run(first, {{"operation", "commit"}});
  CHECK(proxy.run(second, {{"text", "get a"}, {"reads", true}})["result"] == "1");
  proxy.run(first, {{"operation", "set"}, {"name", "who"}, {"text", "first"}});
  CHECK(proxy.run(second, {{"text", "show who"}, {"reads", true}})["result"] == "");
  CHECK(proxy.run(first, {{"text", "show who"}, {"reads", true}})["result"] == "first");
  proxy.ask("DELETE", first);
  for (int visit = 0; visit < 4; ++visit) {
    auto later = proxy.open();
    CHECK(proxy.run(later, {{"text", "show who"}, {"reads", true}})["result"] == "");
  }
}

TEST_CASE("a client that leaves inside a transaction has it closed, not committed") {
  OneProxy proxy;
  auto session = proxy.open();
  proxy.run(session, {{"operation", "begin"}});
  proxy.run(session, {{"text", "put b 1"}});
  proxy.fleet.machines()[0]->door->gone(ConnectionId{7});
  proxy.fleet.run(200ms);
  CHECK(proxy.run(session, {{"operation", "commit"}}, 410)["outcome"] == "lost");
  CHECK(proxy.run(session, {{"text", "get b"}, {"reads", true}})["result"] == "");
  for (const auto& database : proxy.fleet.databases())
    for (const auto& entry : database->node->history()) CHECK(entry.request.operation != Operation::rollback);
}

TEST_CASE("a client that leaves while its request runs leaves no pin and no state behind") {
  OneProxy proxy;
  auto session = proxy.open();
  std::optional<DoorReply> reply;
  TaskScope scope;
  DoorRequest request{"POST", session + "/run", R"({"operation":"set","name":"who","text":"gone"})", ConnectionId{8}};
  scope.spawn(answering(proxy.door().serve(std::move(request)), reply));
  for (int step = 0; step < 100 && proxy.fleet.databases()[0]->node->history().empty(); ++step) proxy.fleet.run(1ms);
  REQUIRE_FALSE(reply);
  proxy.fleet.machines()[0]->door->gone(ConnectionId{8});
  proxy.fleet.run(1s);
  CHECK(proxy.fleet.machines()[0]->proxy->pool().load(ServiceName{"s1"}, DatabaseName{"d1"}) == 0);
  CHECK(proxy.run(proxy.open(), {{"text", "show who"}, {"reads", true}})["result"] == "");
  CHECK(proxy.run(session, {{"text", "show who"}, {"reads", true}}, 410)["outcome"] == "lost");
}

TEST_CASE("sessions that pin connections cannot take the whole branch") {
  OneProxy proxy;
  std::size_t pinned = 0;
  std::size_t refused = 0;
  for (int number = 0; number < 40; ++number) {
    auto session = proxy.open();
    auto reply = proxy.ask("POST", session + "/run", R"({"operation":"set","name":"x","text":"y"})");
    ++(reply.status == 200 ? pinned : refused);
    if (reply.status != 200) CHECK(reply.comeBack.has_value());
  }
  CHECK(pinned == 15);
  CHECK(refused == 25);
  proxy.run(proxy.open(), {{"text", "put c 1"}});
}

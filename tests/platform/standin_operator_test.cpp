#include <catch2/catch.hpp>

#include <deque>

#include "simulated/simulated_clock.hpp"
#include "simulated/simulated_web.hpp"
#include "tests/platform/rule_checks.hpp"
#include "tests/platform/standin_heartbeats.hpp"
#include "tests/platform/standin_operator.hpp"
#include "tests/platform/standin_promotion_api.hpp"
#include "tests/platform/wire_database_trial.hpp"

using namespace tamarindshift;
using namespace tamarindshift::testing;

namespace {

class Scripted : public DoorKeeper {
 public:
  Task<DoorReply> serve(DoorRequest request) override {
    requests.push_back(request);
    auto reply = replies.empty() ? DoorReply{200, "{}", std::nullopt} : replies.front();
    if (!replies.empty()) replies.pop_front();
    co_return reply;
  }
  void gone(ConnectionId) override {}
  std::deque<DoorReply> replies;
  std::vector<DoorRequest> requests;
};

struct Trial {
  WireDatabaseTrial databases;
  SimulatedWeb web{databases.network};
  SimulatedClock clock{databases.world};
  SimulatedWebLink link{web, clock, Address{"10.7.0.1:0"}};
  std::map<std::string, Scripted> nodes;
  OperatorHistory history;
  std::vector<PromotionCall> calls;
  StandinPromotionApi api{clock, calls, StandinPromotionSettings{3, 300ms, false}};

  Trial() {
    for (const auto* node : {"10.1.0.1:90", "10.1.0.2:90", "10.1.0.3:90"}) web.attach(Address{node}, nodes[node], clock);
    web.attach(platform, api, clock);
    api.serves(databases.service);
  }
  ~Trial() {
    for (const auto& address : addresses()) web.detach(address);
    web.detach(platform);
  }
  std::vector<Address> addresses() const {
    std::vector<Address> all;
    for (const auto& [node, scripted] : nodes) all.push_back(Address{node});
    return all;
  }
  StandinOperator::Nodes list() {
    return [this] {
      return addresses();
    };
  }
  PlatformConfiguration configuration(std::uint64_t revision) const {
    PlatformConfiguration made;
    made.revision = revision;
    made.services.push_back(PlatformService{"orders", 120, 0});
    PlatformRoute route;
    route.name = route.hostName = "shop";
    route.targetService = "orders";
    made.routes.push_back(route);
    return made;
  }
  void script(std::vector<int> statuses) {
    for (auto& [node, scripted] : nodes)
      for (auto status : statuses) scripted.replies.push_back(DoorReply{status, "{}", std::nullopt});
  }
  std::size_t requests() const {
    std::size_t amount = 0;
    for (const auto& [node, scripted] : nodes) amount += scripted.requests.size();
    return amount;
  }
  int promote(const std::string& body) {
    std::optional<WebOutcome> outcome;
    TaskScope scope;
    scope.spawn(asking(body, outcome));
    databases.run(100ms);
    return outcome ? outcome->status : 0;
  }
  Task<void> asking(std::string body, std::optional<WebOutcome>& outcome) {
    outcome = co_await link.call(platform, "POST", "/promotion", std::move(body), clock.now() + 90ms);
  }
  Address platform{"10.200.0.1:80"};
};

}  // namespace

TEST_CASE("configurations are read as they were written, and invalid ones known") {
  Trial trial;
  auto made = trial.configuration(7);
  CHECK(made.valid());
  CHECK(parseConfiguration(configurationJson(made)) == made);
  CHECK_FALSE(parseConfiguration("{\"revision\":7").has_value());
  auto unknown = made;
  unknown.routes[0].targetService = "nobody";
  CHECK_FALSE(unknown.valid());
  auto twice = made;
  twice.routes.push_back(twice.routes[0]);
  CHECK_FALSE(twice.valid());
  auto unguarded = made;
  unguarded.routes[0].guard = std::chrono::milliseconds{0};
  CHECK_FALSE(unguarded.valid());
}

TEST_CASE("the operator sends a configuration to the next node until it is taken or refused") {
  Trial trial;
  StandinOperator sender(trial.clock, trial.link, trial.databases.world, trial.history, trial.list());
  SECTION("taken after failures") {
    trial.script({503, 429});
    trial.web.detach(Address{"10.1.0.2:90"});
    sender.replace(trial.configuration(1));
    trial.databases.run(20s);
    CHECK(trial.history.sent.front().acknowledgedAt.has_value());
    CHECK(trial.requests() == 5);
  }
  SECTION("refused at once") {
    trial.script({400});
    sender.replaceWith("{", false);
    trial.databases.run(5s);
    CHECK(trial.history.sent.front().refusedAt.has_value());
    CHECK(trial.requests() == 1);
  }
  SECTION("refused at the third try") {
    trial.script({404});
    sender.replace(trial.configuration(1));
    trial.databases.run(5s);
    CHECK(trial.history.sent.front().refusedAt.has_value());
    CHECK(trial.requests() == 3);
  }
  CHECK(sender.underway() == 0);
}

TEST_CASE("two operators race and read back") {
  Trial trial;
  StandinOperator first(trial.clock, trial.link, trial.databases.world, trial.history, trial.list());
  StandinOperator second(trial.clock, trial.link, trial.databases.world, trial.history, trial.list());
  first.replace(trial.configuration(3));
  second.replace(trial.configuration(5));
  trial.databases.run(1s);
  CHECK(trial.history.sent.size() == 2);
  CHECK(trial.history.sent[0].acknowledgedAt.has_value());
  CHECK(trial.history.sent[1].acknowledgedAt.has_value());
  for (auto& [node, scripted] : trial.nodes)
    scripted.replies.assign(100, DoorReply{200, configurationJson(trial.configuration(5)), std::nullopt});
  first.retrieve(1s);
  trial.databases.run(2s);
  REQUIRE(trial.history.reads.size() == 1);
  CHECK(parseConfiguration(*trial.history.reads[0].body) == trial.configuration(5));
}

TEST_CASE("a promotion takes effect some hundred milliseconds later, within the rate") {
  Trial trial;
  CHECK(trial.promote(R"({"targetService":"orders","id":"a"})") == 200);
  CHECK(trial.databases.service.term() == 1);
  CHECK(trial.promote(R"({"targetService":"orders","id":"b"})") == 200);
  CHECK_FALSE(trial.databases.database("b").leads());
  trial.databases.run(300ms);
  CHECK(trial.databases.database("b").leads());
  CHECK(trial.databases.service.term() == 2);
  CHECK(trial.promote(R"({"targetService":"orders","id":"nobody"})") == 409);
  CHECK(trial.promote(R"({"targetService":"orders","id":"c"})") == 429);
  trial.databases.run(1s);
  CHECK(trial.promote("no json") == 400);
  CHECK(trial.promote(R"({"targetService":"nobody","id":"c"})") == 404);
  trial.api.down(true);
  CHECK(trial.promote(R"({"targetService":"orders","id":"c"})") == 503);
  trial.api.down(false);
  trial.api.slow(1s);
  CHECK(trial.promote(R"({"targetService":"orders","id":"c"})") == 0);
  CHECK(trial.calls.size() == 5);
}

TEST_CASE("a database heartbeats to whoever answers, tells a new role at once, and leaves in order") {
  Trial trial;
  StandinHeartbeats heartbeats(trial.clock, trial.link, trial.databases.world, trial.databases.database("b"), trial.databases.history,
                               trial.list(), StandinHeartbeatsSettings{});
  trial.databases.run(2500ms);
  CHECK(trial.requests() == 3);
  for (const auto& [node, scripted] : trial.nodes)
    for (const auto& request : scripted.requests) {
      CHECK(request.path == "/api/Instances.Heartbeat/b");
      CHECK(request.body.find("\"dbRole\":\"replica\"") != std::string::npos);
    }
  trial.databases.service.promote("b");
  trial.databases.run(50ms);
  CHECK(trial.requests() == 4);
  bool ended = false;
  heartbeats.ended = [&] {
    ended = true;
  };
  trial.web.detach(Address{"10.1.0.1:90"});
  heartbeats.quiesce();
  trial.databases.run(2s);
  REQUIRE(trial.databases.history.leaves.size() == 1);
  CHECK_FALSE(trial.databases.history.leaves[0].detach);
  trial.databases.run(7s);
  REQUIRE(trial.databases.history.leaves.size() == 2);
  CHECK(trial.databases.history.leaves[1].detach);
  CHECK(ended);
}

TEST_CASE("a database's later heartbeats go where an answer says, until one fails there") {
  Trial trial;
  auto target = DoorReply{200, R"({"beatTarget":"10.1.0.3:90"})", std::nullopt};
  for (auto& [node, scripted] : trial.nodes) scripted.replies.assign(50, target);
  StandinHeartbeats heartbeats(trial.clock, trial.link, trial.databases.world, trial.databases.database("b"), trial.databases.history,
                               trial.list(), StandinHeartbeatsSettings{});
  trial.databases.run(6s);
  CHECK(trial.nodes["10.1.0.3:90"].requests.size() >= 4);
  trial.web.detach(Address{"10.1.0.3:90"});
  auto before = heartbeats.acknowledged();
  trial.databases.run(6s);
  CHECK(heartbeats.acknowledged() > before);
}

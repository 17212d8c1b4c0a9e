#include <catch2/catch.hpp>

#include "control/control_state.hpp"

using namespace tamarindshift;

namespace {

struct Replica {
  Replica() : state(board) {}
  void take(ControlMatter matter, std::string body) {
    Action action;
    action.update = packed(ControlUpdate{matter, 0, std::move(body)});
    CHECK(state.applyGreen(action, ++position) == "held");
  }
  void enrol(const std::string& node, std::uint64_t boot) { take(ControlMatter::enrolNode, packed(NodeUpdate{Address{node}, Zone{"z1"}, boot})); }
  void remove(const std::string& node, std::uint64_t boot) { take(ControlMatter::removeNode, packed(NodeUpdate{Address{node}, Zone{"z1"}, boot})); }
  void drainOf(const std::string& node, std::uint64_t boot) { take(ControlMatter::drainNode, packed(NodeUpdate{Address{node}, Zone{"z1"}, boot})); }
  NewsBoard board;
  ControlState state;
  std::uint64_t position = 0;
};

const std::string plan = R"({"mark":1,"services":{"s1":{"discovery":"heartbeats","quota":{"connections":10,"branches":{"work":{"connections":10,"order":1}}}}},
"kinds":{"k1":{"service":"s1","branch":"work","consistency":"primary"}}})";

void follow(NewsBoard& follower, const NewsBoard& source, const Topic& topic) {
  TopicReply reply;
  source.fill(topic, follower.mark(topic), reply);
  CHECK(reply.fate != FollowFate::notCurrent);
  CHECK(follower.apply(topic, reply));
}

}  // namespace

TEST_CASE("a replica restored from a snapshot has each topic's mark as the others have") {
  Replica ordered;
  ordered.take(ControlMatter::plan, packed(PlanUpdate{plan}));
  ordered.enrol("10.0.0.1:1", 1);
  ordered.enrol("10.0.0.2:1", 2);
  Replica restored;
  REQUIRE(restored.state.restore(ordered.state.snapshot()));
  for (const auto& [topic, entry] : ordered.board.entries()) {
    CAPTURE(topic);
    CHECK(restored.board.mark(topic) == entry->mark);
  }
  NewsBoard follower;
  follow(follower, restored.board, "s1");
  follow(follower, ordered.board, "s1");
}

TEST_CASE("a follower that is older than a restored replica loses what was removed before") {
  Replica ordered;
  ordered.take(ControlMatter::plan, packed(PlanUpdate{plan}));
  ordered.enrol("10.0.0.1:1", 1);
  ordered.enrol("10.0.0.2:1", 2);
  NewsBoard follower;
  follow(follower, ordered.board, fleetTopic);
  REQUIRE(follower.find(fleetTopic)->table.contains("node/10.0.0.2:1"));
  ordered.remove("10.0.0.2:1", 2);
  ordered.drainOf("10.0.0.1:1", 1);
  Replica restored;
  REQUIRE(restored.state.restore(ordered.state.snapshot()));
  follow(follower, restored.board, fleetTopic);
  CHECK_FALSE(follower.find(fleetTopic)->table.contains("node/10.0.0.2:1"));
  CHECK(follower.find(fleetTopic)->table == ordered.board.find(fleetTopic)->table);
}

TEST_CASE("a replica that is brought up by a snapshot while it runs forgets what was removed") {
  Replica ordered;
  ordered.take(ControlMatter::plan, packed(PlanUpdate{plan}));
  ordered.enrol("10.0.0.1:1", 1);
  Replica late;
  REQUIRE(late.state.restore(ordered.state.snapshot()));
  ordered.remove("10.0.0.1:1", 1);
  REQUIRE(late.state.restore(ordered.state.snapshot()));
  CHECK(late.board.find(fleetTopic)->table == ordered.board.find(fleetTopic)->table);
  CHECK(late.board.mark(fleetTopic) == ordered.board.mark(fleetTopic));
}

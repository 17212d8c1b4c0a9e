#include <catch2/catch.hpp>

#include "control/control_state.hpp"

using namespace tamarindshift;

namespace {

std::string planText(int mark, const std::string& kinds) {
  return R"({"mark":)" + std::to_string(mark) + R"(,"services":{
"s1":{"discovery":"heartbeats","quota":{"connections":10,"branches":{"work":{"connections":10,"order":1}}}},
"s2":{"discovery":"heartbeats","quota":{"connections":10,"branches":{"work":{"connections":10,"order":1}}}}},
"kinds":{)" +
         kinds + "}}";
}

std::string kind(const std::string& name, const std::string& service, int statement) {
  return "\"" + name + R"(":{"service":")" + service + R"(","branch":"work","consistency":"primary","host":")" + name +
         R"(-of-the-counter","prefix":"/","statement-ms":)" + std::to_string(statement) + "}";
}

struct Replica {
  Replica() : state(board) {}
  void apply(const std::string& plan) {
    Action action;
    action.update = packed(ControlCommand{ControlCommandType::plan, 0, packed(PlanCommand{plan})});
    CHECK(state.applyGreen(action, ++position) == "held");
  }
  std::size_t bytesSince(const Topic& topic, std::uint64_t mark) const {
    TopicReply reply;
    board.fillReply(topic, mark, reply);
    CHECK(reply.result == FollowResult::changes);
    std::size_t bytes = 0;
    for (const auto& change : reply.changes) bytes += change.value.size();
    return bytes;
  }
  UpdateStore board;
  ControlState state;
  std::uint64_t position = 0;
};

}  // namespace

TEST_CASE("plan entries: a new plan sends a service that it does not change little more than its version") {
  Replica replica;
  auto unchanged = kind("k2", "s2", 800) + "," + kind("k3", "s2", 900);
  replica.apply(planText(1, kind("k1", "s1", 800) + "," + unchanged));
  auto before = replica.position;
  replica.apply(planText(2, kind("k1", "s1", 700) + "," + unchanged));
  CHECK(replica.bytesSince(fleetTopic, before) <= 8);
  CHECK(replica.bytesSince("s2", before) <= 8);
  CHECK(replica.bytesSince("s1", before) > 8);
  CHECK(replica.board.mark("s2") == replica.position);
}

TEST_CASE("plan entries: subscribers that receive changes hold the same table as new subscribers") {
  Replica replica;
  UpdateStore subscriber;
  auto update = [&](UpdateStore& board, const Topic& topic) {
    TopicReply reply;
    replica.board.fillReply(topic, board.mark(topic), reply);
    CHECK(board.apply(topic, reply));
    return board.find(topic)->table;
  };
  int mark = 0;
  for (const auto& kinds : {kind("k1", "s1", 800) + "," + kind("k2", "s2", 800), kind("k1", "s1", 800), kind("k1", "s2", 800),
                            kind("k4", "s1", 1) + "," + kind("k1", "s2", 5)}) {
    replica.apply(planText(++mark, kinds));
    for (const auto& topic : {fleetTopic, Topic{"s1"}, Topic{"s2"}}) {
      UpdateStore fresh;
      CHECK(update(subscriber, topic) == update(fresh, topic));
    }
  }
}

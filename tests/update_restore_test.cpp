#include <catch2/catch.hpp>

#include <random>

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
  void offer(ControlMatter matter, std::string body) {
    Action action;
    action.update = packed(ControlUpdate{matter, 0, std::move(body)});
    state.applyGreen(action, ++position);
  }
  void enrol(const std::string& node, std::uint64_t boot) {
    take(ControlMatter::enrolNode, packed(NodeUpdate{Address{node}, Zone{"z1"}, boot}));
  }
  void remove(const std::string& node, std::uint64_t boot) {
    take(ControlMatter::removeNode, packed(NodeUpdate{Address{node}, Zone{"z1"}, boot}));
  }
  void drainOf(const std::string& node, std::uint64_t boot) {
    take(ControlMatter::drainNode, packed(NodeUpdate{Address{node}, Zone{"z1"}, boot}));
  }
  UpdateStore board;
  ControlState state;
  std::uint64_t position = 0;
};

const std::string plan =
    R"({"mark":1,"services":{"s1":{"discovery":"heartbeats","quota":{"connections":10,"branches":{"work":{"connections":10,"order":1}}}}},
"kinds":{"k1":{"service":"s1","branch":"work","consistency":"primary"}}})";

void follow(UpdateStore& follower, const UpdateStore& source, const Topic& topic) {
  TopicReply reply;
  source.fillReply(topic, follower.mark(topic), reply);
  CHECK(reply.result != FollowResult::notCurrent);
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
  for (const auto& [topic, entry] : ordered.board.topics()) {
    CAPTURE(topic);
    CHECK(restored.board.mark(topic) == entry->mark);
  }
  UpdateStore follower;
  follow(follower, restored.board, "s1");
  follow(follower, ordered.board, "s1");
}

TEST_CASE("a follower that is older than a restored replica loses what was removed before") {
  Replica ordered;
  ordered.take(ControlMatter::plan, packed(PlanUpdate{plan}));
  ordered.enrol("10.0.0.1:1", 1);
  ordered.enrol("10.0.0.2:1", 2);
  UpdateStore follower;
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

TEST_CASE("only topics that an action touched are laid anew, and they stand as if all were") {
  auto planOf = [](std::uint64_t mark, int services) {
    std::string text = "{\"mark\":" + std::to_string(mark) + ",\"services\":{";
    std::string kinds;
    for (int number = 1; number <= services; ++number) {
      auto name = std::to_string(number);
      text += std::string(number > 1 ? "," : "") + "\"s" + name +
              "\":{\"discovery\":\"heartbeats\",\"quota\":{\"connections\":10,\"branches\":{\"work\":{\"connections\":10,\"order\":1}}}}";
      kinds += std::string(number > 1 ? "," : "") + "\"k" + name + "\":{\"service\":\"s" + name +
               "\",\"branch\":\"work\",\"consistency\":\"primary\"}";
    }
    return text + "},\"kinds\":{" + kinds + "}}";
  };
  for (unsigned seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    auto below = [&](unsigned bound) {
      return static_cast<unsigned>(random() % bound);
    };
    Replica replica;
    std::uint64_t mark = 0;
    for (int step = 0; step < 120; ++step) {
      ServiceName service{"s" + std::to_string(1 + below(3))};
      DatabaseName database{"d" + std::to_string(1 + below(3))};
      Address node{"10.0.0." + std::to_string(1 + below(3)) + ":1"};
      auto held = replica.state.services().find(service);
      auto epoch = held == replica.state.services().end() ? Epoch{} : held->second.epoch;
      auto basis = held == replica.state.services().end() ? 0 : held->second.sharesAt;
      auto before = replica.board.mark(service.get());
      auto other = replica.board.mark(service == ServiceName{"s1"} ? "s2" : "s1");
      switch (below(9)) {
        case 0:
          replica.offer(ControlMatter::plan, packed(PlanUpdate{planOf(++mark, 1 + static_cast<int>(below(3)))}));
          break;
        case 1:
          replica.offer(ControlMatter::enrolNode, packed(NodeUpdate{node, Zone{"z1"}, below(3)}));
          break;
        case 2:
          replica.offer(below(2) ? ControlMatter::drainNode : ControlMatter::removeNode, packed(NodeUpdate{node, Zone{"z1"}, below(3)}));
          break;
        case 3:
          replica.offer(ControlMatter::enrolDatabase,
                        packed(EnrolmentUpdate{service, database, Address{"10.2.0." + std::to_string(below(4)) + ":1"}, Zone{"z1"}, 5, 1, 1,
                                               "replica"}));
          break;
        case 4:
          replica.offer(ControlMatter::removeDatabase, packed(DatabaseUpdate{service, database, 1, 1, true}));
          break;
        case 5:
          replica.offer(below(2) ? ControlMatter::drainDatabase : ControlMatter::returnDatabase,
                        packed(DatabaseUpdate{service, database, 1, 1, below(2) == 0}));
          break;
        case 6:
          replica.offer(ControlMatter::recovery, packed(RecoveryUpdate{service, epoch, database, "lost", false}));
          break;
        case 7:
          replica.offer(ControlMatter::promoted, packed(PromotedUpdate{service, epoch}));
          break;
        case 8: {
          replica.offer(ControlMatter::shares, packed(SharesUpdate{service, basis, {{node, {{BranchName{"work"}, below(11)}}}}, {}}));
          CHECK(replica.board.mark(service == ServiceName{"s1"} ? "s2" : "s1") == other);
          CHECK(replica.board.mark(service.get()) >= before);
          break;
        }
      }
      Replica anew;
      REQUIRE(anew.state.restore(replica.state.snapshot()));
      for (const auto& [topic, entry] : replica.board.topics()) {
        CAPTURE(step, topic);
        REQUIRE(anew.board.find(topic));
        CHECK(anew.board.find(topic)->table == entry->table);
        CHECK(anew.board.mark(topic) == entry->mark);
      }
    }
  }
}

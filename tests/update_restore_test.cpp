#include <catch2/catch.hpp>

#include <random>

#include "control/control_state.hpp"

using namespace tamarindshift;

namespace {

struct RestoredReplica {
  RestoredReplica() : state(store) {}
  void applyHeld(ControlCommandType matter, std::string body) {
    Action action;
    action.update = packed(ControlCommand{matter, 0, std::move(body)});
    CHECK(state.applyGreen(action, ++position) == "held");
  }
  void apply(ControlCommandType matter, std::string body) {
    Action action;
    action.update = packed(ControlCommand{matter, 0, std::move(body)});
    state.applyGreen(action, ++position);
  }
  void enrol(const std::string& node, std::uint64_t boot) {
    applyHeld(ControlCommandType::enrolNode, packed(NodeCommand{Address{node}, Zone{"z1"}, boot}));
  }
  void remove(const std::string& node, std::uint64_t boot) {
    applyHeld(ControlCommandType::removeNode, packed(NodeCommand{Address{node}, Zone{"z1"}, boot}));
  }
  void drainOf(const std::string& node, std::uint64_t boot) {
    applyHeld(ControlCommandType::drainNode, packed(NodeCommand{Address{node}, Zone{"z1"}, boot}));
  }
  UpdateStore store;
  ControlState state;
  std::uint64_t position = 0;
};

const std::string planText =
    R"({"mark":1,"services":{"s1":{"discovery":"heartbeats","quota":{"connections":10,"branches":{"work":{"connections":10,"order":1}}}}},
"kinds":{"k1":{"service":"s1","branch":"work","consistency":"primary"}}})";

void followOnce(UpdateStore& follower, const UpdateStore& source, const Topic& topic) {
  TopicReply reply;
  source.fillReply(topic, follower.mark(topic), reply);
  CHECK(reply.result != FollowResult::notCurrent);
  CHECK(follower.apply(topic, reply));
}

}  // namespace

TEST_CASE("restore: a replica restored from a snapshot has the same version of each topic as the others") {
  RestoredReplica ordered;
  ordered.applyHeld(ControlCommandType::plan, packed(PlanCommand{planText}));
  ordered.enrol("10.0.0.1:1", 1);
  ordered.enrol("10.0.0.2:1", 2);
  RestoredReplica restored;
  REQUIRE(restored.state.restore(ordered.state.snapshot()));
  for (const auto& [topic, entry] : ordered.store.topics()) {
    CAPTURE(topic);
    CHECK(restored.store.mark(topic) == entry->mark);
  }
  UpdateStore follower;
  followOnce(follower, restored.store, "s1");
  followOnce(follower, ordered.store, "s1");
}

TEST_CASE("restore: a follower older than the restored replica drops what was removed before") {
  RestoredReplica ordered;
  ordered.applyHeld(ControlCommandType::plan, packed(PlanCommand{planText}));
  ordered.enrol("10.0.0.1:1", 1);
  ordered.enrol("10.0.0.2:1", 2);
  UpdateStore follower;
  followOnce(follower, ordered.store, fleetTopic);
  REQUIRE(follower.find(fleetTopic)->table.contains("node/10.0.0.2:1"));
  ordered.remove("10.0.0.2:1", 2);
  ordered.drainOf("10.0.0.1:1", 1);
  RestoredReplica restored;
  REQUIRE(restored.state.restore(ordered.state.snapshot()));
  followOnce(follower, restored.store, fleetTopic);
  CHECK_FALSE(follower.find(fleetTopic)->table.contains("node/10.0.0.2:1"));
  CHECK(follower.find(fleetTopic)->table == ordered.store.find(fleetTopic)->table);
}

TEST_CASE("restore: a snapshot that a running replica catches up by drops what was removed") {
  RestoredReplica ordered;
  ordered.applyHeld(ControlCommandType::plan, packed(PlanCommand{planText}));
  ordered.enrol("10.0.0.1:1", 1);
  RestoredReplica late;
  REQUIRE(late.state.restore(ordered.state.snapshot()));
  ordered.remove("10.0.0.1:1", 1);
  REQUIRE(late.state.restore(ordered.state.snapshot()));
  CHECK(late.store.find(fleetTopic)->table == ordered.store.find(fleetTopic)->table);
  CHECK(late.store.mark(fleetTopic) == ordered.store.mark(fleetTopic));
}

TEST_CASE("restore: rebuilding only the topics that an action touched gives the same tables as rebuilding all") {
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
    RestoredReplica replica;
    std::uint64_t mark = 0;
    for (int step = 0; step < 120; ++step) {
      ServiceName service{"s" + std::to_string(1 + below(3))};
      DatabaseName database{"d" + std::to_string(1 + below(3))};
      Address node{"10.0.0." + std::to_string(1 + below(3)) + ":1"};
      auto held = replica.state.services().find(service);
      auto epoch = held == replica.state.services().end() ? Epoch{} : held->second.epoch;
      auto basis = held == replica.state.services().end() ? 0 : held->second.sharesPosition;
      auto before = replica.store.mark(service.get());
      auto other = replica.store.mark(service == ServiceName{"s1"} ? "s2" : "s1");
      switch (below(9)) {
        case 0:
          replica.apply(ControlCommandType::plan, packed(PlanCommand{planOf(++mark, 1 + static_cast<int>(below(3)))}));
          break;
        case 1:
          replica.apply(ControlCommandType::enrolNode, packed(NodeCommand{node, Zone{"z1"}, below(3)}));
          break;
        case 2:
          replica.apply(below(2) ? ControlCommandType::drainNode : ControlCommandType::removeNode,
                        packed(NodeCommand{node, Zone{"z1"}, below(3)}));
          break;
        case 3:
          replica.apply(ControlCommandType::enrolDatabase,
                        packed(EnrolmentCommand{service, database, Address{"10.2.0." + std::to_string(below(4)) + ":1"}, Zone{"z1"}, 5, 1,
                                                1, "replica"}));
          break;
        case 4:
          replica.apply(ControlCommandType::removeDatabase, packed(DatabaseCommand{service, database, 1, 1, true}));
          break;
        case 5:
          replica.apply(below(2) ? ControlCommandType::drainDatabase : ControlCommandType::returnDatabase,
                        packed(DatabaseCommand{service, database, 1, 1, below(2) == 0}));
          break;
        case 6:
          replica.apply(ControlCommandType::recovery, packed(RecoveryCommand{service, epoch, database, "lost", false}));
          break;
        case 7:
          replica.apply(ControlCommandType::promoted, packed(PromotedCommand{service, epoch}));
          break;
        case 8: {
          replica.apply(ControlCommandType::shares, packed(SharesCommand{service, basis, {{node, {{BranchName{"work"}, below(11)}}}}, {}}));
          CHECK(replica.store.mark(service == ServiceName{"s1"} ? "s2" : "s1") == other);
          CHECK(replica.store.mark(service.get()) >= before);
          break;
        }
      }
      RestoredReplica anew;
      REQUIRE(anew.state.restore(replica.state.snapshot()));
      for (const auto& [topic, entry] : replica.store.topics()) {
        CAPTURE(step, topic);
        REQUIRE(anew.store.find(topic));
        CHECK(anew.store.find(topic)->table == entry->table);
        CHECK(anew.store.mark(topic) == entry->mark);
      }
    }
  }
}

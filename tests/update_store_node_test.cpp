#include <catch2/catch.hpp>

#include "updates/update_store.hpp"
#include "wire/pack.hpp"

using namespace tamarindshift;

namespace {

const Topic serviceTopic = "s1";
const std::optional<Address> nodeA = Address{"10.1.0.1:1"};
const std::optional<Address> nodeB = Address{"10.1.0.2:1"};

std::string shareKey(const std::optional<Address>& node) {
  return sharePrefix + node->get();
}

struct StoreFixture {
  StoreFixture() { publish("1", "1", "d1"); }
  void publish(const std::string& shareOfA, const std::string& shareOfB, const std::string& primary) {
    source.publish(serviceTopic, ++mark, TopicTable{{shareKey(nodeA), shareOfA}, {shareKey(nodeB), shareOfB}, {"primary", primary}});
  }
  TopicReply follow(UpdateStore& follower, const UpdateStore& from, const std::optional<Address>& onlyNode) {
    TopicReply reply;
    from.fillReply(serviceTopic, follower.completeMark(serviceTopic, onlyNode), reply, onlyNode);
    applied = follower.apply(serviceTopic, reply, onlyNode);
    return reply;
  }
  UpdateStore source;
  std::uint64_t mark = 0;
  bool applied = false;
};

}  // namespace

TEST_CASE("updates of one node: a follower gets its own share only, and the version of the whole topic") {
  StoreFixture fixture;
  UpdateStore follower;
  fixture.follow(follower, fixture.source, nodeA);
  CHECK(follower.find(serviceTopic)->table == TopicTable{{shareKey(nodeA), "1"}, {"primary", "d1"}});
  fixture.publish("1", "2", "d1");
  CHECK(fixture.follow(follower, fixture.source, nodeA).changes.empty());
  CHECK(fixture.applied);
  CHECK(follower.mark(serviceTopic) == fixture.mark);
  fixture.publish("3", "3", "d2");
  CHECK(fixture.follow(follower, fixture.source, nodeA).changes.size() == 2);
  CHECK(follower.find(serviceTopic)->table == TopicTable{{shareKey(nodeA), "3"}, {"primary", "d2"}});
}

TEST_CASE("updates of one node: a store that has them for one node serves that node only") {
  StoreFixture fixture;
  UpdateStore agent;
  UpdateStore proxy;
  UpdateStore other;
  fixture.follow(agent, fixture.source, nodeA);
  fixture.follow(proxy, agent, nodeA);
  CHECK(fixture.applied);
  CHECK(proxy.find(serviceTopic)->table == agent.find(serviceTopic)->table);
  for (const auto& onlyNode : {nodeB, std::optional<Address>{}}) {
    CHECK(fixture.follow(other, agent, onlyNode).result == FollowResult::notCurrent);
    CHECK_FALSE(fixture.applied);
  }
}

TEST_CASE("updates of one node: a node that becomes a relay requests the whole table again, even if nothing changed") {
  StoreFixture fixture;
  UpdateStore agent;
  UpdateStore other;
  fixture.follow(agent, fixture.source, nodeA);
  CHECK(agent.completeMark(serviceTopic, std::nullopt) == 0);
  fixture.follow(agent, fixture.source, std::nullopt);
  CHECK(agent.find(serviceTopic)->table == fixture.source.find(serviceTopic)->table);
  CHECK(agent.completeMark(serviceTopic, std::nullopt) == fixture.mark);
  fixture.follow(other, agent, nodeB);
  CHECK(other.find(serviceTopic)->table == TopicTable{{shareKey(nodeB), "1"}, {"primary", "d1"}});
  // an agent that is no longer a relay counts its table as its own node's from the next change on
  fixture.publish("2", "2", "d1");
  fixture.follow(agent, fixture.source, nodeA);
  CHECK(fixture.applied);
  CHECK(agent.completeMark(serviceTopic, std::nullopt) == 0);
}

#include <catch2/catch.hpp>

#include "updates/update_store.hpp"
#include "wire/pack.hpp"

using namespace tamarindshift;

namespace {

const Topic topic = "s1";
const std::optional<Address> a = Address{"10.1.0.1:1"};
const std::optional<Address> b = Address{"10.1.0.2:1"};

std::string shareOf(const std::optional<Address>& node) {
  return sharePrefix + node->get();
}

struct Boards {
  Boards() { publish("1", "1", "d1"); }
  void publish(const std::string& shareOfA, const std::string& shareOfB, const std::string& primary) {
    source.publish(topic, ++mark, TopicTable{{shareOf(a), shareOfA}, {shareOf(b), shareOfB}, {"primary", primary}});
  }
  TopicReply follow(UpdateStore& follower, const UpdateStore& from, const std::optional<Address>& own) {
    TopicReply reply;
    from.fillReply(topic, follower.completeMark(topic, own), reply, own);
    taken = follower.apply(topic, reply, own);
    return reply;
  }
  UpdateStore source;
  std::uint64_t mark = 0;
  bool taken = false;
};

}  // namespace

TEST_CASE("news of one node: a follower gets its own share alone, and the mark of all") {
  Boards boards;
  UpdateStore follower;
  boards.follow(follower, boards.source, a);
  CHECK(follower.find(topic)->table == TopicTable{{shareOf(a), "1"}, {"primary", "d1"}});
  boards.publish("1", "2", "d1");
  CHECK(boards.follow(follower, boards.source, a).changes.empty());
  CHECK(boards.taken);
  CHECK(follower.mark(topic) == boards.mark);
  boards.publish("3", "3", "d2");
  CHECK(boards.follow(follower, boards.source, a).changes.size() == 2);
  CHECK(follower.find(topic)->table == TopicTable{{shareOf(a), "3"}, {"primary", "d2"}});
}

TEST_CASE("news of one node: who holds them for one node passes them on to that node alone") {
  Boards boards;
  UpdateStore agent;
  UpdateStore proxy;
  UpdateStore other;
  boards.follow(agent, boards.source, a);
  boards.follow(proxy, agent, a);
  CHECK(boards.taken);
  CHECK(proxy.find(topic)->table == agent.find(topic)->table);
  for (const auto& own : {b, std::optional<Address>{}}) {
    CHECK(boards.follow(other, agent, own).result == FollowResult::notCurrent);
    CHECK_FALSE(boards.taken);
  }
}

TEST_CASE("news of one node: who comes to pass news on to all asks for the whole once more, also where nothing is new") {
  Boards boards;
  UpdateStore agent;
  UpdateStore other;
  boards.follow(agent, boards.source, a);
  CHECK(agent.completeMark(topic, std::nullopt) == 0);
  boards.follow(agent, boards.source, std::nullopt);
  CHECK(agent.find(topic)->table == boards.source.find(topic)->table);
  CHECK(agent.completeMark(topic, std::nullopt) == boards.mark);
  boards.follow(other, agent, b);
  CHECK(other.find(topic)->table == TopicTable{{shareOf(b), "1"}, {"primary", "d1"}});
  // one that is no home any more holds what it has as its own from the next change on
  boards.publish("2", "2", "d1");
  boards.follow(agent, boards.source, a);
  CHECK(boards.taken);
  CHECK(agent.completeMark(topic, std::nullopt) == 0);
}

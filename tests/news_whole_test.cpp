// Tables with thousands of routes: compressed once a change, asked of replicas alone, waited for while they arrive.

#include <catch2/catch.hpp>

#include "control/plan_news.hpp"
#include "news/news_desk.hpp"
#include "news/news_follower.hpp"
#include "simulated/simulated_clock.hpp"
#include "simulated/simulated_journal.hpp"
#include "simulated/simulated_link.hpp"
#include "wire/peer_request.hpp"

using namespace tamarindshift;

namespace {

NewsTable routes(std::uint64_t mark, std::size_t amount) {
  ServiceNews news;
  news.mark = PlanMark{mark};
  for (std::size_t number = 1; number <= amount; ++number) {
    PlanKind kind;
    kind.service = ServiceName{"s1"};
    kind.branch = BranchName{"work"};
    kind.host = "host" + std::to_string(number * 7919);
    news.kinds[KindName{"r-" + std::to_string(number * 104729)}] = kind;
  }
  NewsTable table;
  layPlan(table, news);
  return table;
}

NewsTable withNodes(NewsTable table, std::size_t nodes) {
  for (std::size_t number = 1; number <= nodes; ++number) table["node/10.1.0." + std::to_string(number) + ":1"] = "here";
  return table;
}

/// A link on which a reply of many bytes arrives piece by piece.
class SlowLink : public PeerLink {
 public:
  explicit SlowLink(Address own) : own_(std::move(own)) {}
  const Address& own() const override { return own_; }
  void pass(const Address&, Envelope envelope) override { asked = *unpacked<PeerRequest>(envelope.body); }
  std::size_t arriving(const Address&) const override { return arrived; }
  void reply(const Address& from) {
    PeerLink::arrived(from, Envelope{MessageType::reply, packed(PeerReply{asked.attempt, asked.boot, "whole"})});
  }
  std::size_t arrived = 0;
  PeerRequest asked;

 private:
  Address own_;
};

struct Patient {
  Patient() { scope.spawn(asking()); }
  Task<void> asking() {
    reply = co_await desk.askPatiently(peer, "follow", {}, 350ms, clock.now() + 5s);
    done = true;
  }
  void run(Duration duration) { world.runUntil(world.now() + duration); }
  Address peer{"10.0.0.1:1"};
  World world{1};
  SimulatedClock clock{world};
  SlowLink link{Address{"10.1.0.1:1"}};
  Desk desk{clock, link, 1};
  std::optional<std::string> reply;
  bool done = false;
  TaskScope scope;
};

/// A source of one large topic, on a machine of its own.
struct Source : NewsSource {
  Source(World& world, SimulatedNetwork& network, const Address& at)
      : clock(world), link(network, clock, at), desk(clock, link, 1), news(clock, desk, board, *this, 150ms) {}
  std::optional<Instant> leaseUntil(const Topic&) override { return clock.now() + 1600ms; }
  std::vector<DatabaseSign> signs(const Topic&) override { return {}; }
  bool core() const override { return isCore; }
  std::uint64_t position(const Topic&) override { return 1; }
  SimulatedClock clock;
  SimulatedLink link;
  Desk desk;
  NewsBoard board;
  NewsDesk news;
  bool isCore = false;
};

struct Following {
  Following(const Address& source, const Address& follower)
      : network(world), own(world, network, source), clock(world), link(network, clock, follower), desk(clock, link, 2) {
    own.board.publish(fleetTopic, 5, routes(1, 4000));
  }
  Task<void> asking(std::uint64_t have) {
    FollowAsk ask;
    ask.have = {{fleetTopic, have}};
    auto bytes = co_await desk.ask(own.link.own(), "follow", packed(ask), clock.now() + 1s);
    if (bytes) reply = unpacked<FollowReply>(*bytes);
  }
  FollowFate ask(std::uint64_t have) {
    reply.reset();
    scope.spawn(asking(have));
    world.runUntil(world.now() + 1s);
    REQUIRE(reply);
    return reply->topics.at(fleetTopic).fate;
  }
  World world{1};
  SimulatedNetwork network;
  Source own;
  SimulatedClock clock;
  SimulatedLink link;
  Desk desk;
  std::optional<FollowReply> reply;
  TaskScope scope;
};

}  // namespace

TEST_CASE("a whole table of many routes goes compressed and comes out as it was") {
  NewsBoard source;
  auto table = withNodes(routes(1, 4000), 100);
  source.publish(fleetTopic, 7, table);
  TopicReply reply;
  source.fill(fleetTopic, 0, reply);
  std::size_t size = 0;
  for (const auto& [key, value] : table) size += key.size() + value.size();
  CHECK(packed(reply).size() * 3 < size);
  NewsBoard follower;
  REQUIRE(follower.apply(fleetTopic, *unpacked<TopicReply>(packed(reply))));
  CHECK(follower.find(fleetTopic)->table == table);
  CHECK(follower.mark(fleetTopic) == 7);
}

TEST_CASE("the compressed plan is made anew when the plan changes, and only then") {
  NewsBoard board;
  board.publish(fleetTopic, 1, withNodes(routes(1, 1000), 1));
  TopicReply first;
  board.fill(fleetTopic, 0, first);
  board.publishChanges(fleetTopic, 2, {NewsChange{2, "node/10.1.0.9:1", false, "here"}});
  TopicReply second;
  board.fill(fleetTopic, 0, second);
  CHECK(second.wholePlan == first.wholePlan);
  CHECK(second.table.contains("node/10.1.0.9:1"));
  board.publish(fleetTopic, 3, withNodes(routes(2, 1001), 1));
  TopicReply third;
  board.fill(fleetTopic, 0, third);
  CHECK(third.wholePlan != first.wholePlan);
  NewsBoard follower;
  REQUIRE(follower.apply(fleetTopic, third));
  CHECK(follower.find(fleetTopic)->table == board.find(fleetTopic)->table);
}

TEST_CASE("a damaged whole plan is not taken") {
  NewsBoard board;
  board.publish(fleetTopic, 1, routes(1, 1000));
  TopicReply reply;
  board.fill(fleetTopic, 0, reply);
  for (std::size_t byte = 0; byte < reply.wholePlan.size(); byte += 97) {
    auto damaged = reply;
    damaged.wholePlan[byte] ^= 0x55;
    NewsBoard follower;
    if (follower.apply(fleetTopic, damaged)) CHECK(follower.find(fleetTopic)->table == board.find(fleetTopic)->table);
  }
  auto cut = reply;
  cut.wholePlan.resize(cut.wholePlan.size() / 2);
  NewsBoard follower;
  CHECK_FALSE(follower.apply(fleetTopic, cut));
  CHECK(follower.mark(fleetTopic) == 0);
}

TEST_CASE("entries published alone leave the same table and the same changes as the whole table does") {
  NewsBoard whole;
  NewsBoard single;
  for (auto* board : {&whole, &single}) board->publish(fleetTopic, 1, withNodes({}, 3));
  auto table = withNodes({}, 4);
  table.erase("node/10.1.0.2:1");
  whole.publish(fleetTopic, 2, table);
  single.publishChanges(fleetTopic, 2,
                        {NewsChange{2, "node/10.1.0.4:1", false, "here"}, NewsChange{2, "node/10.1.0.2:1", true, {}},
                         NewsChange{2, "node/10.1.0.1:1", false, "here"}});
  CHECK(whole.find(fleetTopic)->table == single.find(fleetTopic)->table);
  CHECK(whole.mark(fleetTopic) == single.mark(fleetTopic));
  CHECK(whole.find(fleetTopic)->changes.size() == single.find(fleetTopic)->changes.size());
  single.publishChanges(fleetTopic, 3, {NewsChange{3, "node/10.1.0.1:1", false, "here"}});
  CHECK(single.mark(fleetTopic) == 2);
}

TEST_CASE("a node passes on what changed, and a large whole table only on its own machine; a replica always does") {
  Following other(Address{"10.1.0.1:1"}, Address{"10.1.0.2:1"});
  CHECK(other.ask(0) == FollowFate::notCurrent);
  CHECK(other.ask(5) == FollowFate::changes);
  other.own.isCore = true;
  CHECK(other.ask(0) == FollowFate::snapshot);
  Following same(Address{"10.1.0.1:1"}, Address{"10.1.0.1:2"});
  CHECK(same.ask(0) == FollowFate::snapshot);
}

TEST_CASE("a long reply is waited for as long as bytes of it arrive, and no longer") {
  SECTION("it arrives") {
    Patient patient;
    for (int piece = 0; piece < 8; ++piece) {
      patient.link.arrived += 10'000;
      patient.run(300ms);
      REQUIRE_FALSE(patient.done);
    }
    patient.link.reply(patient.peer);
    patient.run(10ms);
    CHECK(patient.reply == "whole");
  }
  SECTION("it breaks off") {
    Patient patient;
    patient.link.arrived = 10'000;
    patient.run(800ms);
    CHECK(patient.done);
    CHECK_FALSE(patient.reply);
  }
  SECTION("nothing comes") {
    Patient patient;
    patient.run(360ms);
    CHECK(patient.done);
  }
}

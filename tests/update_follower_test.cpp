#include <catch2/catch.hpp>

#include "control/control_state.hpp"
#include "control/plan_entries.hpp"
#include "updates/update_server.hpp"
#include "updates/update_follower.hpp"
#include "proxy/service_directory.hpp"
#include "simulated/simulated_clock.hpp"
#include "simulated/simulated_journal.hpp"
#include "simulated/simulated_link.hpp"

using namespace tamarindshift;

namespace {

struct Source : UpdateSource {
  Source(World& world, SimulatedNetwork& network, const std::string& host)
      : clock(world), link(network, clock, Address{host + ":1"}), desk(clock, link, 1), news(clock, desk, board, *this, 250ms) {}
  std::optional<Instant> leaseUntil(const Topic& topic) override {
    return without.contains(topic) ? std::nullopt : std::optional{clock.now() + 2s};
  }
  std::vector<DatabaseReport> databaseReports(const Topic&) override { return {}; }
  std::uint64_t position(const Topic&) override { return at; }
  void publish(const Topic& topic, const std::string& key, const std::string& value) {
    board.publish(topic, ++at, TopicTable{{key, value}});
  }
  SimulatedClock clock;
  SimulatedLink link;
  Desk desk;
  UpdateStore board;
  std::set<Topic> without;
  std::uint64_t at = 0;
  UpdateServer news;
};

TopicTable planOf(const std::set<std::string>& services) {
  PublishedFleetPlan news;
  news.mark = PlanVersion{1};
  for (const auto& service : services) news.kinds[KindName{"k" + service}] = ServiceName{service};
  TopicTable table;
  writePlanEntries(table, news);
  return table;
}

struct Following {
  Following()
      : world(3),
        network(world),
        first(world, network, "10.0.0.1"),
        second(world, network, "10.0.0.2"),
        third(world, network, "10.0.0.3"),
        clock(world),
        link(network, clock, Address{"10.1.0.1:1"}),
        desk(clock, link, 2),
        journal("node", [](const std::string&) {}),
        follower(
            clock, desk, journal,
            [](const Topic&) {
              return std::vector{Address{"10.0.0.1:1"}, Address{"10.0.0.2:1"}, Address{"10.0.0.3:1"}};
            },
            FollowTimings{450ms, 50ms}) {
    for (auto* source : {&first, &second, &third}) {
      source->board.publish(fleetTopic, ++source->at, planOf({"s1", "s2"}));
      source->publish("s1", "a", "1");
      source->publish("s2", "a", "1");
    }
  }
  void run(Duration duration) { world.runUntil(world.now() + duration); }
  World world;
  SimulatedNetwork network;
  Source first;
  Source second;
  Source third;
  SimulatedClock clock;
  SimulatedLink link;
  Desk desk;
  SimulatedJournal journal;
  UpdateFollower follower;
};

struct FixedFeed : UpdateFeed {
  const UpdateStore& updates() const override { return own; }
  Gate& changed() override { return gate; }
  std::optional<Instant> leaseUntil(const Topic&) override { return Instant::max(); }
  std::vector<DatabaseReport> databaseReports(const Topic&) override { return {}; }
  std::uint64_t position(const Topic&) override { return at; }
  UpdateStore own;
  Gate gate;
  std::uint64_t at = 0;
};

}  // namespace

TEST_CASE("one ask carries all topics of a source, and a change of any of them ends its wait") {
  Following following;
  following.run(1s);
  CHECK(following.follower.topics().size() == 3);
  for (const auto& topic : {fleetTopic, Topic{"s1"}, Topic{"s2"}}) CHECK(following.follower.leaseUntil(topic));
  auto asks = following.journal.counters().at("news.asks");
  following.run(10s);
  auto later = following.journal.counters().at("news.asks");
  CHECK(later - asks >= 35);
  CHECK(later - asks <= 42);
  following.first.publish("s2", "a", "2");
  following.run(10ms);
  CHECK(following.follower.updates().find("s2")->table.at("a") == "2");
}

TEST_CASE("a topic whose source is not current moves to the next source, the others stay") {
  Following following;
  following.run(1s);
  following.first.without = {"s1"};
  following.run(1s);
  CHECK(following.follower.topics().at("s1").source == Address{"10.0.0.2:1"});
  CHECK(following.follower.topics().at("s2").source == Address{"10.0.0.1:1"});
  CHECK(following.follower.leaseUntil("s1"));
  CHECK(following.follower.leaseUntil("s2"));
  following.first.without.clear();
  following.run(7s);
  CHECK(following.follower.topics().at("s1").source == Address{"10.0.0.1:1"});
}

TEST_CASE("a topic that leaves its source goes to the one that answered last and not to a silent one") {
  Following following;
  following.run(1s);
  for (const auto& [from, to] : {std::pair("10.0.0.2", "10.1.0.1"), std::pair("10.1.0.1", "10.0.0.2")}) following.network.cut(from, to);
  following.first.without = {"s1"};
  following.run(1s);
  CHECK(following.follower.topics().at("s1").source == Address{"10.0.0.3:1"});
  following.first.without = {"s1", "s2"};
  following.run(700ms);
  CHECK(following.follower.topics().at("s2").source == Address{"10.0.0.3:1"});
  for (int step = 0; step < 150; ++step) {
    following.run(100ms);
    for (const auto& topic : {"s1", "s2"}) {
      auto until = following.follower.leaseUntil(topic);
      REQUIRE(until);
      CHECK(*until > following.clock.now() + 2s - 750ms);
    }
  }
}

TEST_CASE("a follower that no source answers any more says so long before its lease ends") {
  Following following;
  following.run(1s);
  CHECK(following.follower.sourceResponsive("s1"));
  following.network.cut("10.0.0.1", "10.1.0.1");
  for (int step = 0; step < 50; ++step) {
    following.run(20ms);
    REQUIRE(following.follower.sourceResponsive("s1"));
  }
  for (const auto* host : {"10.0.0.2", "10.0.0.3"}) following.network.cut(host, "10.1.0.1");
  following.run(1s);
  CHECK(following.follower.leaseUntil("s1"));
  CHECK_FALSE(following.follower.sourceResponsive("s1"));
  following.network.heal("10.0.0.2", "10.1.0.1");
  following.run(3 * (450ms + 150ms));
  CHECK(following.follower.sourceResponsive("s1"));
}

TEST_CASE("a topic's lease counts from when its source spoke, and a held ask does not cost it") {
  Following following;
  following.run(5s);
  for (int step = 0; step < 60; ++step) {
    following.run(17ms);
    auto until = following.follower.leaseUntil("s1");
    REQUIRE(until);
    CHECK(*until <= following.clock.now() + 2s);
    CHECK(*until > following.clock.now() + 2s - 250ms - 20ms);
  }
}

TEST_CASE("a node has its share only under its own boot and with news as new as its enrolment") {
  World world(1);
  SimulatedClock clock(world);
  FixedFeed feed;
  ServiceDirectory guide(clock, feed, Address{"10.1.0.1:1"}, 8);
  auto fleet = [&](std::uint64_t mark, std::uint64_t boot, std::uint64_t enrolledAt) {
    auto table = planOf({"s1"});
    table["node/10.1.0.1:1"] = packed(PublishedNode{Zone{"z1"}, false, {}, boot, enrolledAt});
    feed.own.publish(fleetTopic, mark, std::move(table));
    guide.refresh();
  };
  PublishedShare share{{{BranchName{"b"}, 4}}};
  feed.own.publish(
      "s1", 2,
      TopicTable{{"share/10.1.0.1:1", packed(share)}, {"database/d1", packed(PublishedDatabase{Address{"10.2.0.1:1"}, Zone{"z1"}, 5})}});
  feed.at = 3;
  fleet(3, 7, 1);
  CHECK(guide.service(ServiceName{"s1"})->share.connections.empty());
  CHECK(guide.service(ServiceName{"s1"})->databases.at(DatabaseName{"d1"}).capacity == 5);
  fleet(4, 8, 4);
  CHECK(guide.service(ServiceName{"s1"})->share.connections.empty());
  feed.at = 4;
  guide.refresh();
  CHECK(guide.service(ServiceName{"s1"})->share.connections.at(BranchName{"b"}) == 4);
}

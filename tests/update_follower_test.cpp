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

struct FollowerSource : UpdateSource {
  FollowerSource(World& world, SimulatedNetwork& network, const std::string& host)
      : clock(world), link(network, clock, Address{host + ":1"}), desk(clock, link, 1), server(clock, desk, store, *this, 250ms) {}
  std::optional<Instant> leaseUntil(const Topic& topic) override {
    return withoutLease.contains(topic) ? std::nullopt : std::optional{clock.now() + 2s};
  }
  std::vector<DatabaseReport> databaseReports(const Topic&) override { return {}; }
  std::uint64_t position(const Topic&) override { return at; }
  void publish(const Topic& topic, const std::string& key, const std::string& value) {
    store.publish(topic, ++at, TopicTable{{key, value}});
  }
  SimulatedClock clock;
  SimulatedLink link;
  Desk desk;
  UpdateStore store;
  std::set<Topic> withoutLease;
  std::uint64_t at = 0;
  UpdateServer server;
};

TopicTable planTable(const std::set<std::string>& services) {
  PublishedFleetPlan news;
  news.mark = PlanVersion{1};
  for (const auto& service : services) news.kinds[KindName{"k" + service}] = ServiceName{service};
  TopicTable table;
  writePlanEntries(table, news);
  return table;
}

struct FollowerFixture {
  FollowerFixture()
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
      source->store.publish(fleetTopic, ++source->at, planTable({"s1", "s2"}));
      source->publish("s1", "a", "1");
      source->publish("s2", "a", "1");
    }
  }
  void run(Duration duration) { world.runUntil(world.now() + duration); }
  World world;
  SimulatedNetwork network;
  FollowerSource first;
  FollowerSource second;
  FollowerSource third;
  SimulatedClock clock;
  SimulatedLink link;
  Desk desk;
  SimulatedJournal journal;
  UpdateFollower follower;
};

struct FixedFeed : UpdateFeed {
  const UpdateStore& updates() const override { return store; }
  Gate& changed() override { return gate; }
  std::optional<Instant> leaseUntil(const Topic&) override { return Instant::max(); }
  std::vector<DatabaseReport> databaseReports(const Topic&) override { return {}; }
  std::uint64_t position(const Topic&) override { return at; }
  UpdateStore store;
  Gate gate;
  std::uint64_t at = 0;
};

}  // namespace

TEST_CASE("update follower: one request carries all topics of a source, and a change of any of them ends the long poll") {
  FollowerFixture fixture;
  fixture.run(1s);
  CHECK(fixture.follower.topics().size() == 3);
  for (const auto& topic : {fleetTopic, Topic{"s1"}, Topic{"s2"}}) CHECK(fixture.follower.leaseUntil(topic));
  auto asks = fixture.journal.counters().at("news.asks");
  fixture.run(10s);
  auto later = fixture.journal.counters().at("news.asks");
  CHECK(later - asks >= 35);
  CHECK(later - asks <= 42);
  fixture.first.publish("s2", "a", "2");
  fixture.run(10ms);
  CHECK(fixture.follower.updates().find("s2")->table.at("a") == "2");
}

TEST_CASE("update follower: only the topic whose source is not current moves to the next source") {
  FollowerFixture fixture;
  fixture.run(1s);
  fixture.first.withoutLease = {"s1"};
  fixture.run(1s);
  CHECK(fixture.follower.topics().at("s1").source == Address{"10.0.0.2:1"});
  CHECK(fixture.follower.topics().at("s2").source == Address{"10.0.0.1:1"});
  CHECK(fixture.follower.leaseUntil("s1"));
  CHECK(fixture.follower.leaseUntil("s2"));
  fixture.first.withoutLease.clear();
  fixture.run(7s);
  CHECK(fixture.follower.topics().at("s1").source == Address{"10.0.0.1:1"});
}

TEST_CASE("update follower: a topic moves to the source that replied last and not to a silent one") {
  FollowerFixture fixture;
  fixture.run(1s);
  for (const auto& [from, to] : {std::pair("10.0.0.2", "10.1.0.1"), std::pair("10.1.0.1", "10.0.0.2")}) fixture.network.cut(from, to);
  fixture.first.withoutLease = {"s1"};
  fixture.run(1s);
  CHECK(fixture.follower.topics().at("s1").source == Address{"10.0.0.3:1"});
  fixture.first.withoutLease = {"s1", "s2"};
  fixture.run(700ms);
  CHECK(fixture.follower.topics().at("s2").source == Address{"10.0.0.3:1"});
  for (int step = 0; step < 150; ++step) {
    fixture.run(100ms);
    for (const auto& topic : {"s1", "s2"}) {
      auto until = fixture.follower.leaseUntil(topic);
      REQUIRE(until);
      CHECK(*until > fixture.clock.now() + 2s - 750ms);
    }
  }
}

TEST_CASE("update follower: without a responsive source, it reports so well before its lease ends") {
  FollowerFixture fixture;
  fixture.run(1s);
  CHECK(fixture.follower.sourceResponsive("s1"));
  fixture.network.cut("10.0.0.1", "10.1.0.1");
  for (int step = 0; step < 50; ++step) {
    fixture.run(20ms);
    REQUIRE(fixture.follower.sourceResponsive("s1"));
  }
  for (const auto* host : {"10.0.0.2", "10.0.0.3"}) fixture.network.cut(host, "10.1.0.1");
  fixture.run(1s);
  CHECK(fixture.follower.leaseUntil("s1"));
  CHECK_FALSE(fixture.follower.sourceResponsive("s1"));
  fixture.network.heal("10.0.0.2", "10.1.0.1");
  fixture.run(3 * (450ms + 150ms));
  CHECK(fixture.follower.sourceResponsive("s1"));
}

TEST_CASE("update follower: a lease counts from the source's reply, and a held request does not shorten it") {
  FollowerFixture fixture;
  fixture.run(5s);
  for (int step = 0; step < 60; ++step) {
    fixture.run(17ms);
    auto until = fixture.follower.leaseUntil("s1");
    REQUIRE(until);
    CHECK(*until <= fixture.clock.now() + 2s);
    CHECK(*until > fixture.clock.now() + 2s - 250ms - 20ms);
  }
}

TEST_CASE("service directory: a node has its share only under its own boot and with updates as new as its registration") {
  World world(1);
  SimulatedClock clock(world);
  FixedFeed feed;
  ServiceDirectory directory(clock, feed, Address{"10.1.0.1:1"}, 8);
  auto fleet = [&](std::uint64_t mark, std::uint64_t boot, std::uint64_t enrolledAt) {
    auto table = planTable({"s1"});
    table["node/10.1.0.1:1"] = packed(PublishedNode{Zone{"z1"}, false, {}, boot, enrolledAt});
    feed.store.publish(fleetTopic, mark, std::move(table));
    directory.refresh();
  };
  PublishedShare share{{{BranchName{"b"}, 4}}};
  feed.store.publish(
      "s1", 2,
      TopicTable{{"share/10.1.0.1:1", packed(share)}, {"database/d1", packed(PublishedDatabase{Address{"10.2.0.1:1"}, Zone{"z1"}, 5})}});
  feed.at = 3;
  fleet(3, 7, 1);
  CHECK(directory.service(ServiceName{"s1"})->share.connections.empty());
  CHECK(directory.service(ServiceName{"s1"})->databases.at(DatabaseName{"d1"}).capacity == 5);
  fleet(4, 8, 4);
  CHECK(directory.service(ServiceName{"s1"})->share.connections.empty());
  feed.at = 4;
  directory.refresh();
  CHECK(directory.service(ServiceName{"s1"})->share.connections.at(BranchName{"b"}) == 4);
}

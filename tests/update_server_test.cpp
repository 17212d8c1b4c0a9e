#include <catch2/catch.hpp>

#include "control/plan_entries.hpp"
#include "updates/update_server.hpp"
#include "updates/update_follower.hpp"
#include "scale/metered_link.hpp"
#include "simulated/simulated_clock.hpp"
#include "simulated/simulated_journal.hpp"
#include "simulated/simulated_link.hpp"

using namespace tamarindshift;

namespace {

constexpr std::size_t serviceCount = 40;
const Address sourceAddress{"10.0.0.1:1"};

TopicTable planTable() {
  PublishedFleetPlan news;
  news.mark = PlanVersion{1};
  for (std::size_t number = 1; number <= serviceCount; ++number)
    news.kinds[KindName{"k" + std::to_string(number)}] = ServiceName{"s" + std::to_string(number)};
  TopicTable table;
  writePlanEntries(table, news);
  return table;
}

/// A source whose leases last for `lease`. `start` restarts it without what it remembers of followers.
struct ServerSource : UpdateSource {
  ServerSource(World& world, SimulatedNetwork& network) : clock(world), link(network, clock, sourceAddress) { start(); }
  void start() {
    desk.reset();
    desk = std::make_unique<Desk>(clock, link, static_cast<std::uint64_t>(clock.now().time_since_epoch().count()));
    server = std::make_unique<UpdateServer>(clock, *desk, store, *this, 150ms);
  }
  std::optional<Instant> leaseUntil(const Topic& topic) override {
    if (withoutLease.contains(topic)) return std::nullopt;
    return clock.now() + (withHalfLease.contains(topic) ? lease / 2 : lease);
  }
  std::vector<DatabaseReport> databaseReports(const Topic& topic) override {
    ++reportsRead;
    return {DatabaseReport{"d1 of " + topic, "replica", 1, 1, 0ms, 0ms, false}};
  }
  bool isReplica() const override { return actsAsReplica; }
  std::uint64_t position(const Topic&) override { return at; }
  void publish(const Topic& topic, const std::string& key, const std::string& value) {
    tables[topic][key] = value;
    store.publish(topic, ++at, tables[topic]);
  }
  SimulatedClock clock;
  SimulatedLink link;
  std::unique_ptr<Desk> desk;
  UpdateStore store;
  std::map<Topic, TopicTable> tables;
  std::set<Topic> withoutLease;
  std::set<Topic> withHalfLease;
  Duration lease = 1600ms;
  std::uint64_t at = 0;
  bool actsAsReplica = false;
  std::size_t reportsRead = 0;
  std::unique_ptr<UpdateServer> server;
};

struct ServerFixture {
  explicit ServerFixture(std::uint64_t seed = 1, FollowTimings timings = FollowTimings{350ms, 50ms})
      : world(seed),
        network(world),
        source(world, network),
        clock(world),
        link(network, clock, Address{"10.1.0.1:1"}),
        metered(link, traffic,
                [](const Address&) {
                  return "source";
                }),
        desk(clock, metered, 1),
        journal("node", [](const std::string&) {}),
        follower(
            clock, desk, journal,
            [](const Topic&) {
              return std::vector{sourceAddress};
            },
            timings) {
    source.tables[fleetTopic] = planTable();
    source.store.publish(fleetTopic, ++source.at, source.tables[fleetTopic]);
    for (const auto& topic : topics()) source.publish(topic, "a", "1");
  }
  static std::vector<Topic> topics() {
    std::vector<Topic> topics;
    for (std::size_t number = 1; number <= serviceCount; ++number) topics.push_back("s" + std::to_string(number));
    return topics;
  }
  void run(Duration duration) { world.runUntil(world.now() + duration); }
  World world;
  SimulatedNetwork network;
  ServerSource source;
  SimulatedClock clock;
  SimulatedLink link;
  Traffic traffic;
  MeteredLink metered;
  Desk desk;
  SimulatedJournal journal;
  UpdateFollower follower;
};

}  // namespace

TEST_CASE("update server: requests and replies without changes are small for many topics, and leases are renewed") {
  ServerFixture fixture;
  fixture.run(2s);
  auto before = fixture.traffic;
  fixture.run(10s);
  auto traffic = fixture.traffic - before;
  CHECK(traffic.out["source/follow"].messages >= 60);
  CHECK(traffic.out["source/follow"].bytes < 64 * traffic.out["source/follow"].messages);
  CHECK(traffic.in["source/reply"].bytes < 64 * traffic.in["source/reply"].messages);
  CHECK(fixture.source.reportsRead == 0);
  for (const auto& topic : ServerFixture::topics()) {
    REQUIRE(fixture.follower.leaseUntil(topic));
    CHECK(*fixture.follower.leaseUntil(topic) > fixture.clock.now() + 1600ms - 180ms);
    CHECK(fixture.follower.position(topic) == fixture.source.at);
  }
  fixture.source.publish("s7", "a", "2");
  fixture.run(10ms);
  CHECK(fixture.follower.updates().find("s7")->table.at("a") == "2");
}

TEST_CASE("invariants: a lease longer than the bound is reported and cut to the bound") {
  FollowTimings timings{350ms, 50ms};
  timings.maxLease = 800ms;
  ServerFixture fixture(1, timings);
  fixture.run(2s);
  CHECK_FALSE(SimulatedJournal::takeViolations().empty());
  CHECK(fixture.journal.invariant(Invariant::leaseFromQuestion).violated > 0);
  for (const auto& topic : ServerFixture::topics()) {
    REQUIRE(fixture.follower.leaseUntil(topic));
    CHECK(*fixture.follower.leaseUntil(topic) <= fixture.clock.now() + 800ms);
  }
}

TEST_CASE("update server: a short lease is passed on as soon as it is renewed") {
  for (auto wait : {0ms, 37ms, 80ms, 120ms}) {
    ServerFixture fixture;
    fixture.run(2s);
    fixture.source.lease = 300ms;
    fixture.run(2s + wait);
    fixture.source.lease = 1600ms;
    fixture.run(25ms);
    CHECK(*fixture.follower.leaseUntil("s9") > fixture.clock.now() + 1500ms);
  }
}

TEST_CASE("update server: a replica without a lease replies as soon as it has one again") {
  for (auto wait : {0ms, 37ms, 80ms, 120ms}) {
    ServerFixture fixture;
    fixture.source.actsAsReplica = true;
    fixture.run(2s);
    for (const auto& topic : ServerFixture::topics()) fixture.source.withoutLease.insert(topic);
    fixture.source.withoutLease.insert(fleetTopic);
    fixture.run(3s + wait);
    CHECK_FALSE(fixture.follower.leaseUntil("s9"));
    fixture.source.withoutLease.clear();
    fixture.run(180ms);
    CHECK(fixture.follower.leaseUntil("s9"));
  }
}

TEST_CASE("update server: database reports are sent only for topics whose reports were read recently") {
  ServerFixture fixture;
  fixture.run(2s);
  CHECK(fixture.follower.databaseReports("s3").empty());
  fixture.run(400ms);
  REQUIRE(fixture.follower.databaseReports("s3").size() == 1);
  CHECK(fixture.follower.databaseReports("s3").front().database == "d1 of s3");
  fixture.run(6s);
  auto asked = fixture.source.reportsRead;
  fixture.run(3s);
  CHECK(fixture.source.reportsRead == asked);
}

TEST_CASE("update server: a restarted source or a topic without a lease does not affect the leases of other topics") {
  ServerFixture fixture;
  fixture.run(2s);
  fixture.source.start();
  for (int step = 0; step < 20; ++step) {
    fixture.run(50ms);
    for (const auto& topic : ServerFixture::topics()) REQUIRE(fixture.follower.leaseUntil(topic));
  }
  fixture.source.withoutLease = {"s5"};
  fixture.source.withHalfLease = {"s6"};
  fixture.run(2s);
  CHECK_FALSE(fixture.follower.leaseUntil("s5"));
  CHECK(*fixture.follower.leaseUntil("s6") <= fixture.clock.now() + 800ms);
  CHECK(*fixture.follower.leaseUntil("s8") > fixture.clock.now() + 1300ms);
  fixture.source.withoutLease.clear();
  fixture.run(1s);
  CHECK(fixture.follower.leaseUntil("s5"));
}

TEST_CASE("update follower: tables equal those of the source after lost messages and restarts of the source") {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    CAPTURE(seed);
    ServerFixture fixture(seed);
    fixture.run(1s);
    for (int step = 0; step < 200; ++step) {
      auto below = [&](std::uint64_t bound) {
        return fixture.world.below(bound);
      };
      if (below(30) == 0) fixture.source.start();
      fixture.network.lose(below(4) == 0 ? 300 : 0);
      auto topic = "s" + std::to_string(1 + below(serviceCount));
      if (below(2) == 0) fixture.source.publish(topic, "key" + std::to_string(below(3)), std::to_string(step));
      fixture.run(Duration{below(100) * 1000});
      for (const auto& each : ServerFixture::topics())
        if (auto until = fixture.follower.leaseUntil(each)) CHECK(*until <= fixture.clock.now() + fixture.source.lease);
    }
    fixture.network.lose(0);
    fixture.run(5s);
    for (const auto& topic : ServerFixture::topics()) {
      CHECK(fixture.follower.updates().find(topic)->table == fixture.source.store.find(topic)->table);
      CHECK(fixture.follower.leaseUntil(topic));
    }
  }
}

TEST_CASE("update server: a follower of one node's shares gets the new version when other shares change, and goes on long-polling") {
  ServerFixture fixture;
  const Address node{"10.1.0.2:1"};
  SimulatedClock clock(fixture.world);
  SimulatedLink link(fixture.network, clock, node);
  Desk desk(clock, link, 2);
  SimulatedJournal journal("node", [](const std::string&) {});
  UpdateFollower follower(
      clock, desk, journal,
      [](const Topic&) {
        return std::vector{sourceAddress};
      },
      FollowTimings{350ms, 50ms},
      [node] {
        return std::optional{node};
      });
  fixture.run(2s);
  REQUIRE(follower.updates().mark("s1") == fixture.source.store.mark("s1"));
  auto asked = [&] {
    return journal.counters().at("news.asks");
  };
  auto before = asked();
  fixture.run(5s);
  auto quiet = asked() - before;
  fixture.source.publish("s1", "share/10.1.0.9:1", "4");
  fixture.run(1s);
  CHECK(follower.updates().mark("s1") == fixture.source.store.mark("s1"));
  CHECK_FALSE(follower.updates().find("s1")->table.contains("share/10.1.0.9:1"));
  before = asked();
  fixture.run(5s);
  CHECK(asked() - before <= quiet + 2);
  fixture.source.publish("s1", "share/10.1.0.2:1", "7");
  fixture.run(300ms);
  CHECK(follower.updates().find("s1")->table.at("share/10.1.0.2:1") == "7");
}

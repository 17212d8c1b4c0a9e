#include <catch2/catch.hpp>

#include "control/plan_news.hpp"
#include "updates/update_server.hpp"
#include "updates/update_follower.hpp"
#include "scale/metered_link.hpp"
#include "simulated/simulated_clock.hpp"
#include "simulated/simulated_journal.hpp"
#include "simulated/simulated_link.hpp"

using namespace tamarindshift;

namespace {

constexpr std::size_t services = 40;
const Address sourceAt{"10.0.0.1:1"};

TopicTable planNews() {
  FleetPlanNews news;
  news.mark = PlanMark{1};
  for (std::size_t number = 1; number <= services; ++number)
    news.kinds[KindName{"k" + std::to_string(number)}] = ServiceName{"s" + std::to_string(number)};
  TopicTable table;
  layPlan(table, news);
  return table;
}

// a source whose leases last for `lease`, and which may start again without its memory
struct Source : UpdateSource {
  Source(World& world, SimulatedNetwork& network) : clock(world), link(network, clock, sourceAt) { start(); }
  void start() {
    desk.reset();
    desk = std::make_unique<Desk>(clock, link, static_cast<std::uint64_t>(clock.now().time_since_epoch().count()));
    news = std::make_unique<UpdateServer>(clock, *desk, board, *this, 150ms);
  }
  std::optional<Instant> leaseUntil(const Topic& topic) override {
    if (without.contains(topic)) return std::nullopt;
    return clock.now() + (shorter.contains(topic) ? lease / 2 : lease);
  }
  std::vector<DatabaseReport> databaseReports(const Topic& topic) override {
    ++signsAsked;
    return {DatabaseReport{"d1 of " + topic, "replica", 1, 1, 0ms, 0ms, false}};
  }
  bool isReplica() const override { return actsAsReplica; }
  std::uint64_t position(const Topic&) override { return at; }
  void publish(const Topic& topic, const std::string& key, const std::string& value) {
    tables[topic][key] = value;
    board.publish(topic, ++at, tables[topic]);
  }
  SimulatedClock clock;
  SimulatedLink link;
  std::unique_ptr<Desk> desk;
  UpdateStore board;
  std::map<Topic, TopicTable> tables;
  std::set<Topic> without;
  std::set<Topic> shorter;
  Duration lease = 1600ms;
  std::uint64_t at = 0;
  bool actsAsReplica = false;
  std::size_t signsAsked = 0;
  std::unique_ptr<UpdateServer> news;
};

struct Following {
  explicit Following(std::uint64_t seed = 1, FollowTimings timings = FollowTimings{350ms, 50ms})
      : world(seed),
        network(world),
        source(world, network),
        clock(world),
        link(network, clock, Address{"10.1.0.1:1"}),
        counted(link, traffic,
                [](const Address&) {
                  return "source";
                }),
        desk(clock, counted, 1),
        journal("node", [](const std::string&) {}),
        follower(
            clock, desk, journal,
            [](const Topic&) {
              return std::vector{sourceAt};
            },
            timings) {
    source.tables[fleetTopic] = planNews();
    source.board.publish(fleetTopic, ++source.at, source.tables[fleetTopic]);
    for (const auto& topic : topics()) source.publish(topic, "a", "1");
  }
  static std::vector<Topic> topics() {
    std::vector<Topic> topics;
    for (std::size_t number = 1; number <= services; ++number) topics.push_back("s" + std::to_string(number));
    return topics;
  }
  void run(Duration duration) { world.runUntil(world.now() + duration); }
  World world;
  SimulatedNetwork network;
  Source source;
  SimulatedClock clock;
  SimulatedLink link;
  Traffic traffic;
  MeteredLink counted;
  Desk desk;
  SimulatedJournal journal;
  UpdateFollower follower;
};

}  // namespace

TEST_CASE("when nothing is new an ask and its reply are as small for many topics as for one, and leases go on") {
  Following following;
  following.run(2s);
  auto before = following.traffic;
  following.run(10s);
  auto traffic = following.traffic - before;
  CHECK(traffic.out["source/follow"].messages >= 60);
  CHECK(traffic.out["source/follow"].bytes < 64 * traffic.out["source/follow"].messages);
  CHECK(traffic.in["source/reply"].bytes < 64 * traffic.in["source/reply"].messages);
  CHECK(following.source.signsAsked == 0);
  for (const auto& topic : Following::topics()) {
    REQUIRE(following.follower.leaseUntil(topic));
    CHECK(*following.follower.leaseUntil(topic) > following.clock.now() + 1600ms - 180ms);
    CHECK(following.follower.position(topic) == following.source.at);
  }
  following.source.publish("s7", "a", "2");
  following.run(10ms);
  CHECK(following.follower.updates().find("s7")->table.at("a") == "2");
}

TEST_CASE("invariants: a source that gives a lease beyond its duration is noticed, and its lease is cut") {
  FollowTimings timings{350ms, 50ms};
  timings.maxLease = 800ms;
  Following following(1, timings);
  following.run(2s);
  CHECK_FALSE(SimulatedJournal::takeViolations().empty());
  CHECK(following.journal.invariant(Invariant::leaseFromQuestion).violated > 0);
  for (const auto& topic : Following::topics()) {
    REQUIRE(following.follower.leaseUntil(topic));
    CHECK(*following.follower.leaseUntil(topic) <= following.clock.now() + 800ms);
  }
}

TEST_CASE("a lease that was short is passed on as soon as it is renewed") {
  for (auto wait : {0ms, 37ms, 80ms, 120ms}) {
    Following following;
    following.run(2s);
    following.source.lease = 300ms;
    following.run(2s + wait);
    following.source.lease = 1600ms;
    following.run(25ms);
    CHECK(*following.follower.leaseUntil("s9") > following.clock.now() + 1500ms);
  }
}

TEST_CASE("a replica without a lease answers as soon as it has one again") {
  for (auto wait : {0ms, 37ms, 80ms, 120ms}) {
    Following following;
    following.source.actsAsReplica = true;
    following.run(2s);
    for (const auto& topic : Following::topics()) following.source.without.insert(topic);
    following.source.without.insert(fleetTopic);
    following.run(3s + wait);
    CHECK_FALSE(following.follower.leaseUntil("s9"));
    following.source.without.clear();
    following.run(180ms);
    CHECK(following.follower.leaseUntil("s9"));
  }
}

TEST_CASE("signs come for topics that somebody looks at, and no more when nobody does") {
  Following following;
  following.run(2s);
  CHECK(following.follower.databaseReports("s3").empty());
  following.run(400ms);
  REQUIRE(following.follower.databaseReports("s3").size() == 1);
  CHECK(following.follower.databaseReports("s3").front().database == "d1 of s3");
  following.run(6s);
  auto asked = following.source.signsAsked;
  following.run(3s);
  CHECK(following.source.signsAsked == asked);
}

TEST_CASE("a source that started again or gave a topic up is asked anew and costs no other topic its lease") {
  Following following;
  following.run(2s);
  following.source.start();
  for (int step = 0; step < 20; ++step) {
    following.run(50ms);
    for (const auto& topic : Following::topics()) REQUIRE(following.follower.leaseUntil(topic));
  }
  following.source.without = {"s5"};
  following.source.shorter = {"s6"};
  following.run(2s);
  CHECK_FALSE(following.follower.leaseUntil("s5"));
  CHECK(*following.follower.leaseUntil("s6") <= following.clock.now() + 800ms);
  CHECK(*following.follower.leaseUntil("s8") > following.clock.now() + 1300ms);
  following.source.without.clear();
  following.run(1s);
  CHECK(following.follower.leaseUntil("s5"));
}

TEST_CASE("a follower holds what its source holds, whatever is lost between them") {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    CAPTURE(seed);
    Following following(seed);
    following.run(1s);
    for (int step = 0; step < 200; ++step) {
      auto below = [&](std::uint64_t bound) {
        return following.world.below(bound);
      };
      if (below(30) == 0) following.source.start();
      following.network.lose(below(4) == 0 ? 300 : 0);
      auto topic = "s" + std::to_string(1 + below(services));
      if (below(2) == 0) following.source.publish(topic, "key" + std::to_string(below(3)), std::to_string(step));
      following.run(Duration{below(100) * 1000});
      for (const auto& each : Following::topics())
        if (auto until = following.follower.leaseUntil(each)) CHECK(*until <= following.clock.now() + following.source.lease);
    }
    following.network.lose(0);
    following.run(5s);
    for (const auto& topic : Following::topics()) {
      CHECK(following.follower.updates().find(topic)->table == following.source.board.find(topic)->table);
      CHECK(following.follower.leaseUntil(topic));
    }
  }
}

TEST_CASE("who asks for the shares of one node learns the mark of changes that concern others, and goes on waiting") {
  Following following;
  const Address node{"10.1.0.2:1"};
  SimulatedClock clock(following.world);
  SimulatedLink link(following.network, clock, node);
  Desk desk(clock, link, 2);
  SimulatedJournal journal("node", [](const std::string&) {});
  UpdateFollower follower(
      clock, desk, journal,
      [](const Topic&) {
        return std::vector{sourceAt};
      },
      FollowTimings{350ms, 50ms},
      [node] {
        return std::optional{node};
      });
  following.run(2s);
  REQUIRE(follower.updates().mark("s1") == following.source.board.mark("s1"));
  auto asked = [&] {
    return journal.counters().at("news.asks");
  };
  auto before = asked();
  following.run(5s);
  auto quiet = asked() - before;
  following.source.publish("s1", "share/10.1.0.9:1", "4");
  following.run(1s);
  CHECK(follower.updates().mark("s1") == following.source.board.mark("s1"));
  CHECK_FALSE(follower.updates().find("s1")->table.contains("share/10.1.0.9:1"));
  before = asked();
  following.run(5s);
  CHECK(asked() - before <= quiet + 2);
  following.source.publish("s1", "share/10.1.0.2:1", "7");
  following.run(300ms);
  CHECK(follower.updates().find("s1")->table.at("share/10.1.0.2:1") == "7");
}

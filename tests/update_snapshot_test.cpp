// Snapshots of tables with thousands of routes: they are compressed once per change, requested from replicas only, and awaited while
// bytes of them arrive.

#include <catch2/catch.hpp>

#include "control/plan_entries.hpp"
#include "updates/update_server.hpp"
#include "updates/update_follower.hpp"
#include "simulated/simulated_clock.hpp"
#include "simulated/simulated_journal.hpp"
#include "simulated/simulated_link.hpp"
#include "wire/peer_request.hpp"

using namespace tamarindshift;

namespace {

TopicTable routeTable(std::uint64_t mark, std::size_t amount) {
  PublishedServicePlan news;
  news.mark = PlanVersion{mark};
  for (std::size_t number = 1; number <= amount; ++number) {
    PlanKind kind;
    kind.service = ServiceName{"s1"};
    kind.branch = BranchName{"work"};
    kind.host = "host" + std::to_string(number * 7919);
    news.kinds[KindName{"r-" + std::to_string(number * 104729)}] = kind;
  }
  TopicTable table;
  writePlanEntries(table, news);
  return table;
}

TopicTable withNodes(TopicTable table, std::size_t nodes) {
  for (std::size_t number = 1; number <= nodes; ++number) table["node/10.1.0." + std::to_string(number) + ":1"] = "here";
  return table;
}

/// A link on which the test sets how many bytes of a reply have arrived.
class SlowReplyLink : public PeerLink {
 public:
  explicit SlowReplyLink(Address own) : own_(std::move(own)) {}
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

struct SlowReplyFixture {
  SlowReplyFixture() { scope.spawn(request()); }
  Task<void> request() {
    reply = co_await desk.askPatiently(peer, "follow", {}, 350ms, clock.now() + 5s);
    done = true;
  }
  void run(Duration duration) { world.runUntil(world.now() + duration); }
  Address peer{"10.0.0.1:1"};
  World world{1};
  SimulatedClock clock{world};
  SlowReplyLink link{Address{"10.1.0.1:1"}};
  Desk desk{clock, link, 1};
  std::optional<std::string> reply;
  bool done = false;
  TaskScope scope;
};

/// A source of one large topic on another machine.
struct SnapshotSource : UpdateSource {
  SnapshotSource(World& world, SimulatedNetwork& network, const Address& at)
      : clock(world), link(network, clock, at), desk(clock, link, 1), server(clock, desk, store, *this, 150ms) {}
  std::optional<Instant> leaseUntil(const Topic&) override { return clock.now() + 1600ms; }
  std::vector<DatabaseReport> databaseReports(const Topic&) override { return {}; }
  bool isReplica() const override { return actsAsReplica; }
  std::uint64_t position(const Topic&) override { return 1; }
  SimulatedClock clock;
  SimulatedLink link;
  Desk desk;
  UpdateStore store;
  UpdateServer server;
  bool actsAsReplica = false;
};

struct SnapshotFixture {
  SnapshotFixture(const Address& source, const Address& follower)
      : network(world), own(world, network, source), clock(world), link(network, clock, follower), desk(clock, link, 2) {
    own.store.publish(fleetTopic, 5, routeTable(1, 4000));
  }
  Task<void> request(std::uint64_t have) {
    FollowRequest ask;
    ask.knownMarks = {{fleetTopic, have}};
    auto bytes = co_await desk.ask(own.link.own(), "follow", packed(ask), clock.now() + 1s);
    if (bytes) reply = unpacked<FollowReply>(*bytes);
  }
  FollowResult ask(std::uint64_t have) {
    reply.reset();
    scope.spawn(request(have));
    world.runUntil(world.now() + 1s);
    REQUIRE(reply);
    return reply->topics.at(fleetTopic).result;
  }
  World world{1};
  SimulatedNetwork network;
  SnapshotSource own;
  SimulatedClock clock;
  SimulatedLink link;
  Desk desk;
  std::optional<FollowReply> reply;
  TaskScope scope;
};

}  // namespace

TEST_CASE("snapshots: a table of many routes is compressed to less than a third and restored unchanged") {
  UpdateStore source;
  auto table = withNodes(routeTable(1, 4000), 100);
  source.publish(fleetTopic, 7, table);
  TopicReply reply;
  source.fillReply(fleetTopic, 0, reply);
  std::size_t size = 0;
  for (const auto& [key, value] : table) size += key.size() + value.size();
  CHECK(packed(reply).size() * 3 < size);
  UpdateStore follower;
  REQUIRE(follower.apply(fleetTopic, *unpacked<TopicReply>(packed(reply))));
  CHECK(follower.find(fleetTopic)->table == table);
  CHECK(follower.mark(fleetTopic) == 7);
}

TEST_CASE("snapshots: the compressed plan is rebuilt only when the plan changes") {
  UpdateStore store;
  store.publish(fleetTopic, 1, withNodes(routeTable(1, 1000), 1));
  TopicReply first;
  store.fillReply(fleetTopic, 0, first);
  store.publishChanges(fleetTopic, 2, {TopicChange{2, "node/10.1.0.9:1", false, "here"}});
  TopicReply second;
  store.fillReply(fleetTopic, 0, second);
  CHECK(second.compressedPlan == first.compressedPlan);
  CHECK(second.table.contains("node/10.1.0.9:1"));
  store.publish(fleetTopic, 3, withNodes(routeTable(2, 1001), 1));
  TopicReply third;
  store.fillReply(fleetTopic, 0, third);
  CHECK(third.compressedPlan != first.compressedPlan);
  UpdateStore follower;
  REQUIRE(follower.apply(fleetTopic, third));
  CHECK(follower.find(fleetTopic)->table == store.find(fleetTopic)->table);
}

TEST_CASE("snapshots: a damaged compressed plan is rejected unless it still gives the same table") {
  UpdateStore store;
  store.publish(fleetTopic, 1, routeTable(1, 1000));
  TopicReply reply;
  store.fillReply(fleetTopic, 0, reply);
  for (std::size_t byte = 0; byte < reply.compressedPlan.size(); byte += 97) {
    auto damaged = reply;
    damaged.compressedPlan[byte] ^= 0x55;
    UpdateStore follower;
    if (follower.apply(fleetTopic, damaged)) CHECK(follower.find(fleetTopic)->table == store.find(fleetTopic)->table);
  }
  auto cut = reply;
  cut.compressedPlan.resize(cut.compressedPlan.size() / 2);
  UpdateStore follower;
  CHECK_FALSE(follower.apply(fleetTopic, cut));
  CHECK(follower.mark(fleetTopic) == 0);
}

TEST_CASE("update store: publishing single entries gives the same table and changes as publishing the whole table") {
  UpdateStore whole;
  UpdateStore single;
  for (auto* store : {&whole, &single}) store->publish(fleetTopic, 1, withNodes({}, 3));
  auto table = withNodes({}, 4);
  table.erase("node/10.1.0.2:1");
  whole.publish(fleetTopic, 2, table);
  single.publishChanges(fleetTopic, 2,
                        {TopicChange{2, "node/10.1.0.4:1", false, "here"}, TopicChange{2, "node/10.1.0.2:1", true, {}},
                         TopicChange{2, "node/10.1.0.1:1", false, "here"}});
  CHECK(whole.find(fleetTopic)->table == single.find(fleetTopic)->table);
  CHECK(whole.mark(fleetTopic) == single.mark(fleetTopic));
  CHECK(whole.find(fleetTopic)->changes.size() == single.find(fleetTopic)->changes.size());
  single.publishChanges(fleetTopic, 3, {TopicChange{3, "node/10.1.0.1:1", false, "here"}});
  CHECK(single.mark(fleetTopic) == 2);
}

TEST_CASE("snapshots: a node sends changes to all and large snapshots only within its machine; a replica sends both to all") {
  SnapshotFixture other(Address{"10.1.0.1:1"}, Address{"10.1.0.2:1"});
  CHECK(other.ask(0) == FollowResult::notCurrent);
  CHECK(other.ask(5) == FollowResult::changes);
  other.own.actsAsReplica = true;
  CHECK(other.ask(0) == FollowResult::snapshot);
  SnapshotFixture same(Address{"10.1.0.1:1"}, Address{"10.1.0.1:2"});
  CHECK(same.ask(0) == FollowResult::snapshot);
}

TEST_CASE("snapshots: a long reply is awaited while bytes of it arrive, and no longer") {
  SECTION("all of it arrives") {
    SlowReplyFixture fixture;
    for (int piece = 0; piece < 8; ++piece) {
      fixture.link.arrived += 10'000;
      fixture.run(300ms);
      REQUIRE_FALSE(fixture.done);
    }
    fixture.link.reply(fixture.peer);
    fixture.run(10ms);
    CHECK(fixture.reply == "whole");
  }
  SECTION("it stops halfway") {
    SlowReplyFixture fixture;
    fixture.link.arrived = 10'000;
    fixture.run(800ms);
    CHECK(fixture.done);
    CHECK_FALSE(fixture.reply);
  }
  SECTION("nothing arrives") {
    SlowReplyFixture fixture;
    fixture.run(360ms);
    CHECK(fixture.done);
  }
}

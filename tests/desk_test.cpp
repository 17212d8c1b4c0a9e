// Replies that are delayed, doubled, reordered, or meant for somebody else reach no caller.

#include <catch2/catch.hpp>

#include "base/desk.hpp"
#include "simulated/simulated_clock.hpp"
#include "simulated/simulated_link.hpp"
#include "wire/peer_request.hpp"

using namespace tamarindshift;

namespace {

const Address callerAt{"10.0.0.1:1"};
const Address serverAt{"10.0.0.2:1"};
const Address strangerAt{"10.0.0.3:1"};

/// One process that asks; its link hands what it sends to the test, which answers as it likes.
struct Caller {
  Caller(World& world, SimulatedNetwork& network, std::uint64_t boot)
      : clock(world), link(network, clock, callerAt), desk(clock, link, boot) {}
  SimulatedClock clock;
  SimulatedLink link;
  Desk desk;
};

struct Exchange {
  Exchange() : network(world), clock(world), server(network, clock, serverAt), stranger(network, clock, strangerAt) {
    server.on(MessageType::request, [this](const Address&, const std::string& bytes) {
      asked.push_back(*unpacked<PeerRequest>(bytes));
    });
    start(1);
  }
  ~Exchange() { scope.clear(); }

  void start(std::uint64_t boot) {
    scope.clear();
    caller.reset();
    caller = std::make_unique<Caller>(world, network, boot);
  }
  Task<void> asking(std::string body, std::vector<std::optional<std::string>>& replies, std::size_t index) {
    replies[index] = co_await caller->desk.ask(serverAt, "write", std::move(body), caller->clock.now() + 1s);
  }
  void ask(const std::string& body) {
    replies.emplace_back();
    scope.spawn(asking(body, replies, replies.size() - 1));
    run(5ms);
  }
  void reply(SimulatedLink& from, const PeerRequest& ask, const std::string& body) {
    from.pass(callerAt, Envelope{MessageType::reply, packed(PeerReply{ask.attempt, ask.boot, body})});
  }
  void run(Duration duration) { world.runUntil(world.now() + duration); }

  World world{5};
  SimulatedNetwork network;
  SimulatedClock clock;
  SimulatedLink server;
  SimulatedLink stranger;
  std::unique_ptr<Caller> caller;
  std::vector<PeerRequest> asked;
  std::vector<std::optional<std::string>> replies = [] {
    std::vector<std::optional<std::string>> room;
    room.reserve(16);
    return room;
  }();
  TaskScope scope;
};

}  // namespace

TEST_CASE("a reply from a peer that was not asked is not taken") {
  Exchange exchange;
  exchange.ask("a");
  exchange.reply(exchange.stranger, exchange.asked.at(0), "wrong");
  exchange.run(20ms);
  CHECK_FALSE(exchange.replies[0]);
  exchange.reply(exchange.server, exchange.asked.at(0), "right");
  exchange.run(20ms);
  CHECK(exchange.replies[0] == "right");
}

TEST_CASE("a reply to a process that ended does not reach the next one at its address") {
  Exchange exchange;
  exchange.ask("a");
  auto former = exchange.asked.at(0);
  exchange.start(2);
  exchange.ask("b");
  CHECK(exchange.asked.at(1).attempt == former.attempt);
  exchange.reply(exchange.server, former, "for the former process");
  exchange.run(20ms);
  CHECK_FALSE(exchange.replies[1]);
  exchange.reply(exchange.server, exchange.asked.at(1), "for this one");
  exchange.run(20ms);
  CHECK(exchange.replies[1] == "for this one");
}

TEST_CASE("replies that are doubled, reordered or late each reach the one caller that waits for them, once") {
  Exchange exchange;
  for (const auto* body : {"a", "b", "c"}) exchange.ask(body);
  REQUIRE(exchange.asked.size() == 3);
  for (auto index : {2, 0, 2, 1, 0})
    exchange.reply(exchange.server, exchange.asked.at(index), exchange.asked.at(index).body + (exchange.replies[index] ? " again" : ""));
  exchange.run(20ms);
  CHECK(exchange.replies[0] == "a");
  CHECK(exchange.replies[1] == "b");
  CHECK(exchange.replies[2] == "c");
  exchange.ask("d");
  exchange.run(2s);
  exchange.reply(exchange.server, exchange.asked.at(3), "too late");
  exchange.ask("e");
  exchange.run(20ms);
  CHECK_FALSE(exchange.replies[3]);
  CHECK_FALSE(exchange.replies[4]);
}

TEST_CASE("a request that got no reply is not sent again") {
  Exchange exchange;
  exchange.ask("a");
  exchange.run(5s);
  CHECK(exchange.asked.size() == 1);
  CHECK_FALSE(exchange.replies[0]);
}

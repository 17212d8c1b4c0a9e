// The HTTP door on real sockets.

#include <catch2/catch.hpp>

#include <stdexcept>

#include "base/task_scope.hpp"
#include "real/http_web_link.hpp"
#include "real/real_clock.hpp"
#include "real/restinio_door.hpp"

using namespace tamarindshift;
using boost::asio::ip::tcp;

namespace {

struct QuietJournal : Journal {
  void line(const std::string& text) override { lines.push_back(text); }
  std::vector<std::string> lines;
};

constexpr std::size_t longReplyBytes = 4'000'000;

struct FaultyKeeper : DoorKeeper {
  Task<DoorReply> serve(DoorRequest request) override {
    if (request.path == "/fault") throw std::runtime_error("a fault in one request");
    if (request.path == "/long") co_return DoorReply{200, std::string(longReplyBytes, 'x'), std::nullopt};
    co_return DoorReply{200, "{}", std::nullopt};
  }
  void gone(ConnectionId) override {}
};

Address freeAddress(boost::asio::io_context& context) {
  tcp::acceptor acceptor(context, tcp::endpoint{boost::asio::ip::make_address("127.0.0.1"), 0});
  return Address{"127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())};
}

struct Trial {
  boost::asio::io_context context{1};
  RealClock clock{context};
  HttpWebLink web{context};
  FaultyKeeper keeper;
  Address address = freeAddress(context);
  QuietJournal journal;
  RestinioDoor door{context, address, keeper, journal};
  TaskScope scope;

  Task<void> asking(std::string path, std::optional<int>& status) {
    auto reply = co_await web.call(address, "GET", path, {}, clock.now() + 2s);
    status = reply ? reply->status : 0;
  }
  int ask(const std::string& path) {
    std::optional<int> status;
    scope.spawn(asking(path, status));
    auto until = std::chrono::steady_clock::now() + 5s;
    while (!status && std::chrono::steady_clock::now() < until) context.run_one_for(std::chrono::milliseconds{50});
    return status.value_or(0);
  }
};

}  // namespace

TEST_CASE("a request whose handling throws is answered with 500 and the door goes on") {
  Trial trial;
  REQUIRE_FALSE(trial.door.open());
  CHECK(trial.ask("/good") == 200);
  // the finished requests are swept now and then, so a failure that was left lying would surface here
  for (int round = 0; round < 60; ++round) {
    REQUIRE(trial.ask("/fault") == 500);
    REQUIRE(trial.ask("/good") == 200);
  }
  CHECK(trial.journal.counters().at("requests.threw") == 60);
  REQUIRE_FALSE(trial.journal.lines.empty());
  CHECK(trial.journal.lines.front() == "a request threw: GET /fault: a fault in one request");
}

// Guards against a reply that is cut off because the program ends while it is being sent.
TEST_CASE("a door holds output until the last byte of a reply is sent") {
  Trial trial;
  REQUIRE_FALSE(trial.door.open());
  CHECK(trial.ask("/good") == 200);
  CHECK_FALSE(trial.door.holdsOutput());
  auto place = *splitAddress(trial.address);
  tcp::socket client{trial.context};
  client.open(tcp::v4());
  client.set_option(boost::asio::socket_base::receive_buffer_size(8192));
  client.connect({boost::asio::ip::make_address(place.host), place.port});
  client.write_some(boost::asio::buffer(std::string{"GET /long HTTP/1.1\r\nHost: h\r\n\r\n"}));
  trial.context.run_for(100ms);
  CHECK(trial.door.holdsOutput());
  std::size_t size = 0;
  std::array<char, 65536> scratch{};
  client.non_blocking(true);
  auto until = std::chrono::steady_clock::now() + 10s;
  while (size < longReplyBytes && std::chrono::steady_clock::now() < until) {
    boost::system::error_code error;
    size += client.read_some(boost::asio::buffer(scratch), error);
    trial.context.restart();
    trial.context.poll();
  }
  trial.context.run_for(50ms);
  CHECK_FALSE(trial.door.holdsOutput());
}

TEST_CASE("a door holds no output for a client that has gone") {
  Trial trial;
  REQUIRE_FALSE(trial.door.open());
  auto place = *splitAddress(trial.address);
  tcp::socket client{trial.context};
  client.connect({boost::asio::ip::make_address(place.host), place.port});
  client.write_some(boost::asio::buffer(std::string{"GET /long HTTP/1.1\r\nHost: h\r\n\r\n"}));
  trial.context.run_for(20ms);
  client.set_option(boost::asio::socket_base::linger(true, 0));
  client.close();
  trial.context.run_for(200ms);
  CHECK_FALSE(trial.door.holdsOutput());
}

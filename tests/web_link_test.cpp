#include <catch2/catch.hpp>

#include "base/gate.hpp"
#include "base/task_scope.hpp"
#include "real/http_web_link.hpp"
#include "real/real_clock.hpp"

using namespace tamarindshift;
using boost::asio::ip::tcp;

namespace {

const std::string reply = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 11\r\n\r\n{\"done\":1}\n";

struct Trial {
  boost::asio::io_context context{1};
  RealClock clock{context};
  HttpWebLink web{context};
  tcp::acceptor acceptor{context, tcp::endpoint{boost::asio::ip::make_address("127.0.0.1"), 0}};
  tcp::socket server{context};
  std::string received;
  std::array<char, 4096> buffer{};
  std::optional<WebOutcome> outcome;
  TaskScope scope;

  Task<void> ask() {
    Address address{"127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())};
    auto connection = co_await web.open(address, clock.now() + 20s);
    REQUIRE(connection);
    outcome = co_await connection->exchange("POST", "/run", "{\"text\":\"put a 1\"}", clock.now() + 20s);
  }

  void reset() {
    boost::system::error_code ignored;
    server.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    server.close(ignored);
  }

  void read(std::size_t resetAfterRequest, std::size_t replyBytes) {
    server.async_read_some(boost::asio::buffer(buffer), [=, this](boost::system::error_code error, std::size_t size) {
      if (error) return;
      received.append(buffer.data(), size);
      if (received.size() >= resetAfterRequest) return reset();
      if (received.find("put a 1\"}") == std::string::npos) return read(resetAfterRequest, replyBytes);
      boost::asio::async_write(server, boost::asio::buffer(reply.data(), replyBytes), [=, this](boost::system::error_code, std::size_t) {
        if (replyBytes < reply.size()) server.close();
      });
    });
  }

  WebOutcome run(std::size_t resetAfterRequest, std::size_t replyBytes) {
    acceptor.async_accept(server, [=, this](boost::system::error_code error) {
      if (!error) read(resetAfterRequest, replyBytes);
    });
    scope.spawn(ask());
    while (!outcome && context.run_one_for(std::chrono::seconds{20}) > 0) {
    }
    REQUIRE(outcome);
    return *outcome;
  }
};

constexpr std::size_t never = 1 << 20;

}  // namespace

TEST_CASE("a whole reply is a reply") {
  auto outcome = Trial{}.run(never, reply.size());
  CHECK(outcome.fate == PassFate::replied);
  CHECK(outcome.body == "{\"done\":1}\n");
}

TEST_CASE("a reply that breaks off at any byte is lost, never unsent and never a reply") {
  for (std::size_t bytes = 0; bytes < reply.size(); ++bytes) {
    INFO("bytes " << bytes);
    CHECK(Trial{}.run(never, bytes).fate == PassFate::lost);
  }
}

TEST_CASE("a connection reset while the request arrives is lost once bytes were written") {
  for (std::size_t bytes = 1; bytes < 120; bytes += 7) {
    INFO("bytes " << bytes);
    CHECK(Trial{}.run(bytes, 0).fate == PassFate::lost);
  }
}

TEST_CASE("a connection that was closed while idle is not used, so its request is unsent") {
  Trial trial;
  std::unique_ptr<WebConnection> connection;
  auto open = [](Trial& own, std::unique_ptr<WebConnection>& opened) -> Task<void> {
    Address address{"127.0.0.1:" + std::to_string(own.acceptor.local_endpoint().port())};
    opened = co_await own.web.open(address, own.clock.now() + 20s);
  };
  bool accepted = false;
  trial.acceptor.async_accept(trial.server, [&](boost::system::error_code) {
    accepted = true;
  });
  trial.scope.spawn(open(trial, connection));
  while ((!connection || !accepted) && trial.context.run_one_for(std::chrono::seconds{20}) > 0) {
  }
  REQUIRE(connection);
  CHECK(connection->usable());
  trial.reset();
  while (connection->usable() && trial.context.run_one_for(std::chrono::seconds{20}) > 0) {
  }
  CHECK_FALSE(connection->usable());
}

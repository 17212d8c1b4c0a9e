#include <catch2/catch.hpp>

#include "real/real_clock.hpp"
#include "real/tcp_line_connection.hpp"

using namespace tamarindshift;
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t answerBytes = 960'000;

/// A connection that the program serves, and the socket of its client.
struct ConnectedPair {
  ConnectedPair() {
    tcp::acceptor acceptor{context, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    client.open(tcp::v4());
    client.set_option(boost::asio::socket_base::receive_buffer_size(8192));
    client.connect(acceptor.local_endpoint());
    auto accepted = acceptor.accept();
    accepted.set_option(boost::asio::socket_base::send_buffer_size(8192));
    served = std::make_unique<TcpLineConnection>(clock, std::move(accepted), 20s);
  }
  /// Reads what comes until the far end has closed, or `most` bytes.
  std::size_t readUpTo(std::size_t most) {
    std::string bytes(most, '\0');
    std::size_t size = 0;
    boost::system::error_code error;
    while (size < most && !error) {
      context.poll();
      context.restart();
      client.non_blocking(true);
      auto came = client.read_some(boost::asio::buffer(bytes.data() + size, most - size), error);
      size += came;
      if (error == boost::asio::error::would_block) error = {};
    }
    return size;
  }

  boost::asio::io_context context{1};
  RealClock clock{context};
  tcp::socket client{context};
  std::unique_ptr<TcpLineConnection> served;
};

}  // namespace

// Guards against an exit while the connection still holds a part of the last reply.
TEST_CASE("tcp line: a connection holds output until all of it is sent, also after its close") {
  ConnectedPair pair;
  CHECK_FALSE(pair.served->holdsOutput());
  CHECK(pair.served->write(std::string(answerBytes, 'x')));
  CHECK(pair.served->holdsOutput());
  pair.served->close();
  CHECK(pair.served->holdsOutput());
  CHECK(pair.readUpTo(answerBytes / 8) == answerBytes / 8);
  CHECK(pair.served->holdsOutput());
  CHECK(pair.readUpTo(answerBytes) == answerBytes - answerBytes / 8);
  CHECK_FALSE(pair.served->holdsOutput());
}

TEST_CASE("tcp line: a connection that breaks holds no output any more") {
  ConnectedPair pair;
  CHECK(pair.served->write(std::string(answerBytes, 'x')));
  CHECK(pair.served->holdsOutput());
  pair.client.set_option(boost::asio::socket_base::linger(true, 0));
  pair.client.close();
  for (int tries = 0; tries < 1000 && pair.served->holdsOutput(); ++tries) {
    pair.context.run_for(1ms);
    pair.context.restart();
  }
  CHECK_FALSE(pair.served->holdsOutput());
}

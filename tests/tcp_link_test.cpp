#include <catch2/catch.hpp>

#include <malloc.h>

#include <cstring>

#include "real/real_clock.hpp"
#include "real/tcp_link.hpp"

using namespace tamarindshift;
using boost::asio::ip::tcp;

namespace {

struct SilentJournal : Journal {
  void line(const std::string&) override {}
};

Address freeAddress(boost::asio::io_context& context) {
  tcp::acceptor acceptor(context, tcp::endpoint{boost::asio::ip::make_address("127.0.0.1"), 0});
  return Address{"127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())};
}

std::string frame(char matter, const std::string& body) {
  auto size = static_cast<std::uint32_t>(body.size() + 1);
  std::string bytes(4, '\0');
  std::memcpy(bytes.data(), &size, 4);
  return bytes + matter + body;
}

struct Trial {
  boost::asio::io_context context{1};
  RealClock clock{context};
  SilentJournal journal;
  Address ownAddress = freeAddress(context);
  Address peerAddress = freeAddress(context);
  TcpLink own{context, clock, journal, ownAddress, {}};
  std::vector<std::string> heard;

  tcp::endpoint endpoint(const Address& address) {
    auto port = std::stoi(address.get().substr(address.get().find(':') + 1));
    return tcp::endpoint{boost::asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(port)};
  }
  void listen(TcpLink& peer) {
    REQUIRE_FALSE(peer.listen());
    peer.on(MessageType::request, [this](const Address&, const std::string& body) {
      heard.push_back(body);
    });
  }
  bool runUntil(const std::function<bool()>& reached) {
    auto until = std::chrono::steady_clock::now() + 10s;
    while (!reached() && std::chrono::steady_clock::now() < until) context.run_one_for(std::chrono::milliseconds{50});
    return reached();
  }
};

}  // namespace

TEST_CASE("a message to a peer whose old life still holds its connection reaches the new life") {
  Trial trial;
  REQUIRE_FALSE(trial.own.listen());
  tcp::socket kept(trial.context);
  tcp::socket hello(trial.context);
  bool accepted = false;
  {
    // an old life of the peer: it said hello, took a connection and vanished without closing it
    tcp::acceptor acceptor(trial.context, trial.endpoint(trial.peerAddress));
    hello.connect(trial.endpoint(trial.ownAddress));
    boost::asio::write(hello, boost::asio::buffer(frame('\0', trial.peerAddress.get() + " 1")));
    acceptor.async_accept(kept, [&](boost::system::error_code) {
      accepted = true;
    });
    trial.own.pass(trial.peerAddress, Envelope{MessageType::request, "to the old life"});
    REQUIRE(trial.runUntil([&] {
      return accepted && kept.available() > 0;
    }));
  }
  std::optional<TcpLink> peer;
  peer.emplace(trial.context, trial.clock, trial.journal, trial.peerAddress, Detours{});
  trial.listen(*peer);
  bool answered = false;
  trial.own.on(MessageType::reply, [&](const Address&, const std::string&) {
    answered = true;
  });
  peer->pass(trial.ownAddress, Envelope{MessageType::reply, "here I am"});
  REQUIRE(trial.runUntil([&] {
    return answered;
  }));
  trial.own.pass(trial.peerAddress, Envelope{MessageType::request, "first to the new life"});
  CHECK(trial.runUntil([&] {
    return !trial.heard.empty();
  }));
  REQUIRE(trial.heard.size() == 1);
  CHECK(trial.heard.front() == "first to the new life");
}

TEST_CASE("a message to a peer that closed its connections goes down a new one") {
  Trial trial;
  REQUIRE_FALSE(trial.own.listen());
  std::optional<TcpLink> peer;
  peer.emplace(trial.context, trial.clock, trial.journal, trial.peerAddress, Detours{});
  trial.listen(*peer);
  trial.own.pass(trial.peerAddress, Envelope{MessageType::request, "before"});
  REQUIRE(trial.runUntil([&] {
    return trial.heard.size() == 1;
  }));
  peer.reset();
  auto until = trial.clock.now() + 100ms;
  trial.runUntil([&] {
    return trial.clock.now() >= until;
  });
  peer.emplace(trial.context, trial.clock, trial.journal, trial.peerAddress, Detours{});
  trial.listen(*peer);
  trial.own.pass(trial.peerAddress, Envelope{MessageType::request, "after"});
  CHECK(trial.runUntil([&] {
    return trial.heard.size() == 2;
  }));
  CHECK(trial.heard.back() == "after");
}

TEST_CASE("bytes of a message whose end is still on its way are counted, for its sender alone") {
  Trial trial;
  REQUIRE_FALSE(trial.own.listen());
  std::string received;
  trial.own.on(MessageType::reply, [&](const Address&, const std::string& body) {
    received = body;
  });
  tcp::socket peer(trial.context);
  peer.connect(trial.endpoint(trial.ownAddress));
  boost::asio::write(peer, boost::asio::buffer(frame('\0', trial.peerAddress.get() + " 1")));
  auto whole = frame(static_cast<char>(MessageType::reply), std::string(200'000, 'x'));
  boost::asio::write(peer, boost::asio::buffer(whole.data(), 100'000));
  REQUIRE(trial.runUntil([&] {
    return trial.own.arriving(trial.peerAddress) == 100'000 - 4;
  }));
  CHECK(trial.own.arriving(trial.ownAddress) == 0);
  boost::asio::write(peer, boost::asio::buffer(whole.data() + 100'000, whole.size() - 100'000));
  REQUIRE(trial.runUntil([&] {
    return received.size() == 200'000;
  }));
  CHECK(trial.own.arriving(trial.peerAddress) == 0);
  boost::asio::write(peer, boost::asio::buffer(whole.data(), 50'000));
  REQUIRE(trial.runUntil([&] {
    return trial.own.arriving(trial.peerAddress) > 0;
  }));
  peer.close();
  CHECK(trial.runUntil([&] {
    return trial.own.arriving(trial.peerAddress) == 0;
  }));
}

TEST_CASE("a dead port is told as refused, and a connection that was reset is not") {
  Trial trial;
  REQUIRE_FALSE(trial.own.listen());
  std::vector<Address> refused;
  trial.own.onRefused([&](const Address& peer) {
    refused.push_back(peer);
  });
  SECTION("nobody listens") {
    trial.own.pass(trial.peerAddress, Envelope{MessageType::request, "lost"});
    REQUIRE(trial.runUntil([&] {
      return !refused.empty();
    }));
    CHECK(refused.front() == trial.peerAddress);
  }
  SECTION("the peer closes what it accepted and listens on") {
    tcp::acceptor acceptor(trial.context, trial.endpoint(trial.peerAddress));
    std::size_t accepted = 0;
    std::function<void()> accept = [&] {
      acceptor.async_accept([&](boost::system::error_code error, tcp::socket socket) {
        if (error) return;
        ++accepted;
        socket.close();
        accept();
      });
    };
    accept();
    for (int index = 0; index < 3; ++index) {
      trial.own.pass(trial.peerAddress, Envelope{MessageType::request, "lost"});
      auto before = accepted;
      trial.runUntil([&] {
        return accepted > before;
      });
    }
    CHECK(accepted >= 2);
    CHECK(refused.empty());
    acceptor.close();
  }
}

TEST_CASE("the messages that wait for all peers together are bounded, and room is made as they leave") {
  Trial trial;
  REQUIRE_FALSE(trial.own.listen());
  std::vector<std::unique_ptr<TcpLink>> peers;
  std::vector<Address> addresses;
  std::size_t arrived = 0;
  for (int index = 0; index < 3; ++index) {
    addresses.push_back(freeAddress(trial.context));
    peers.push_back(std::make_unique<TcpLink>(trial.context, trial.clock, trial.journal, addresses.back(), Detours{}));
    REQUIRE_FALSE(peers.back()->listen());
    peers.back()->on(MessageType::request, [&](const Address&, const std::string&) {
      ++arrived;
    });
  }
  const std::size_t sentToEach = 30;
  auto sendAll = [&] {
    for (std::size_t index = 0; index < sentToEach; ++index)
      for (const auto& address : addresses) trial.own.pass(address, Envelope{MessageType::request, std::string(1u << 20, 'x')});
  };
  auto droppedSoFar = [&]() -> std::uint64_t {
    auto found = trial.journal.counters().find("link.dropped");
    return found == trial.journal.counters().end() ? 0 : found->second;
  };
  for (int round = 0; round < 3; ++round) {
    auto droppedBefore = droppedSoFar();
    auto arrivedBefore = arrived;
    sendAll();
    auto dropped = droppedSoFar() - droppedBefore;
    CHECK(dropped >= 3 * sentToEach - 64);
    CHECK(dropped <= 3 * sentToEach - 60);
    CHECK(trial.runUntil([&] {
      return arrived - arrivedBefore == 3 * sentToEach - dropped;
    }));
  }
}

TEST_CASE("a connection that announces a large message takes memory for what has arrived only") {
  Trial trial;
  REQUIRE_FALSE(trial.own.listen());
  auto allocated = [] {
    auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
  };
  auto before = allocated();
  std::vector<tcp::socket> noisy;
  for (int index = 0; index < 8; ++index) {
    auto& socket = noisy.emplace_back(trial.context);
    socket.connect(trial.endpoint(trial.ownAddress));
    std::uint32_t size = 30u << 20;
    std::string bytes(4, '\0');
    std::memcpy(bytes.data(), &size, 4);
    boost::asio::write(socket, boost::asio::buffer(bytes + "some"));
  }
  auto until = trial.clock.now() + 200ms;
  trial.runUntil([&] {
    return trial.clock.now() >= until;
  });
  CHECK(allocated() < before + (8u << 20));
}

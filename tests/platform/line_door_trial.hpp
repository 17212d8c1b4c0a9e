#pragma once

#include <array>

#include "control/published_entries.hpp"
#include "platform/front_door.hpp"
#include "real/real_clock.hpp"
#include "real/tcp_line_door.hpp"
#include "simulated/simulated_journal.hpp"
#include "tests/scripted_back_ends.hpp"
#include "tests/scripted_updates.hpp"

namespace tamarindshift {

// the front door on a real socket, with a scripted database behind its pooler and a raw client before it
class LineDoorTrial {
 public:
  LineDoorTrial() {
    backEnds.add("d1", true, LogPosition{Epoch{3}, Position{100}});
    PlanKind kind;
    kind.service = ServiceName{"s1"};
    kind.branch = BranchName{"work"};
    kind.host = "strict";
    PublishedFleetPlan fleet;
    fleet.mark = PlanVersion{1};
    fleet.kinds[KindName{"strict"}] = kind.service;
    news.putPlan(fleetTopic, fleet);
    PublishedNode own;
    own.boot = boot;
    news.put(fleetTopic, "node/" + node.get(), own);
    PublishedServicePlan service;
    service.service.discovered = true;
    service.service.branches[kind.branch].connections = 2;
    service.kinds[KindName{"strict"}] = kind;
    news.putPlan("s1", service);
    news.put("s1", "primary", PublishedPrimary{Epoch{1}, DatabaseName{"d1"}, true, false});
    news.put("s1", "database/d1", PublishedDatabase{Address{"10.2.0.1:1"}, Zone{}, 10});
    PublishedShare share;
    share.connections[kind.branch] = 2;
    news.put("s1", "share/" + node.get(), share);
    opened = !door.open();
  }

  void connect() {
    client.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    read();
  }
  // a session that waits for its first statement
  bool greeted() {
    if (!opened) return false;
    run(50ms);
    connect();
    say("SETUP strict u1\r\n");
    bool welcome = awaits("IDLE I -\r\n");
    received.clear();
    return welcome;
  }
  // whether the client has read `wanted`, or a close where nothing is wanted
  bool awaits(const std::string& wanted) {
    auto until = std::chrono::steady_clock::now() + 10s;
    auto reached = [&] {
      return wanted.empty() ? closed : received.find(wanted) != std::string::npos;
    };
    while (!reached() && std::chrono::steady_clock::now() < until) context.run_one_for(50ms);
    return reached();
  }
  void say(std::string bytes) {
    auto held = std::make_shared<std::string>(std::move(bytes));
    boost::asio::async_write(client, boost::asio::buffer(*held), [held](boost::system::error_code, std::size_t) {});
  }
  void run(Duration duration) { context.run_for(duration); }
  std::size_t runs(const std::string& text) const {
    std::size_t count = 0;
    for (const auto& run : backEnds.runs) count += run.statement.text == text;
    return count;
  }

  boost::asio::io_context context{1};
  RealClock clock{context};
  ScriptedUpdates news{clock};
  Address node{"10.1.0.1:1"};
  std::uint64_t boot = 5;
  ServiceDirectory guide{clock, news, node, boot};
  ScriptedBackEnds backEnds{clock};
  SimulatedJournal journal{"pooler", [](const std::string&) {}};
  Pooler pooler{clock, guide, backEnds, journal, settings(), boot, [](NodeReport) {}};
  platform::FrontDoor frontDoor{clock, pooler};
  std::uint16_t port = freePort();
  TcpLineDoor door{context, clock, Address{"127.0.0.1:" + std::to_string(port)}, frontDoor};
  boost::asio::ip::tcp::socket client{context};
  bool opened = false;
  bool closed = false;
  std::string received;

 private:
  PoolerSettings settings() const {
    PoolerSettings own;
    own.node = node;
    return own;
  }
  std::uint16_t freePort() {
    boost::asio::ip::tcp::acceptor acceptor{context, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    return acceptor.local_endpoint().port();
  }
  void read() {
    client.async_read_some(boost::asio::buffer(buffer_), [this](boost::system::error_code error, std::size_t size) {
      received.append(buffer_.data(), size);
      closed = closed || error;
      if (!error) read();
    });
  }
  std::array<char, 65536> buffer_{};
};

}  // namespace tamarindshift

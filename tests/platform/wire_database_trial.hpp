#pragma once

#include "simulated/simulated_clock.hpp"
#include "simulated/simulated_line_link.hpp"
#include "tests/platform/simulated_database_fabric.hpp"
#include "tests/platform/standin_wire_database.hpp"
#include "tests/platform/wire_channel.hpp"

namespace tamarindshift::testing {

// a service of three databases, "a" leading, and callers asking them directly
class WireDatabaseTrial {
 public:
  struct Host {
    StandinWireDatabaseSettings settings;
    std::unique_ptr<SimulatedClock> clock;
    std::unique_ptr<SimulatedLineLink> link;
    std::unique_ptr<StandinWireDatabase> database;
    WireDisk disk;
  };
  struct Caller {
    std::unique_ptr<WireChannel> channel;
    std::optional<WireReply> reply;
    std::string next = "1";
  };

  explicit WireDatabaseTrial(bool syncReplicas = false, std::uint64_t seed = 1)
      : world{seed}, service{"orders", syncReplicas, fabric, history} {
    service.found("a");
    for (const auto* id : {"a", "b", "c"}) {
      auto& host = hosts[id];
      host.settings.service = "orders";
      host.settings.id = id;
      host.settings.address = Address{std::string("10.0.0.") + id + ":80"};
      start(id);
    }
    run(200ms);
  }
  ~WireDatabaseTrial() {
    callers.clear();
    scope.clear();
    for (auto& [id, host] : hosts)
      if (host.link) host.link->kill();
  }

  void start(const std::string& id) {
    auto& host = hosts.at(id);
    host.clock = std::make_unique<SimulatedClock>(world);
    host.link = std::make_unique<SimulatedLineLink>(lines, *host.clock, host.settings.address);
    host.database = std::make_unique<StandinWireDatabase>(*host.clock, service, host.settings, host.disk);
    host.link->dropDarkAfter(host.settings.darkDropped);
    host.link->listen(host.settings.address, *host.database);
  }
  void crash(const std::string& id) {
    auto& host = hosts.at(id);
    host.disk = host.database->disk();
    host.link->kill();
    host.database.reset();
    host.link.reset();
    host.clock.reset();
  }
  StandinWireDatabase& database(const std::string& id) { return *hosts.at(id).database; }
  std::string hostName(const std::string& id) { return "10.0.0." + id; }

  void run(Duration duration) { world.runUntil(world.now() + duration); }
  WireReply connect(const std::string& caller, const std::string& id, const std::string& setup = "orders") {
    auto& each = callers[caller];
    each.channel = std::make_unique<WireChannel>(clock, link);
    each.reply.reset();
    scope.spawn(opening(each, hosts.at(id).settings.address, setup));
    settle(each);
    return *each.reply;
  }
  void begin(const std::string& caller, const std::string& text) {
    auto& each = callers[caller];
    each.reply.reset();
    scope.spawn(asking(each, text));
  }
  WireReply ask(const std::string& caller, const std::string& text) {
    begin(caller, text);
    settle(callers[caller]);
    return *callers[caller].reply;
  }

  World world;
  SimulatedNetwork network{world};
  SimulatedLineNetwork lines{network};
  SimulatedDatabaseFabric fabric{lines};
  ServiceHistory history;
  StandinWireService service;
  SimulatedClock clock{world};
  SimulatedLineLink link{lines, clock, Address{"10.9.0.1:0"}};
  std::map<std::string, Host> hosts;
  std::map<std::string, Caller> callers;
  TaskScope scope;

 private:
  void settle(Caller& caller) {
    for (int step = 0; step < 20000 && !caller.reply; ++step) run(1ms);
    if (!caller.reply) caller.reply = WireReply{WireEnd::silent, {}, {}, {}, '?', std::nullopt, world.now()};
  }
  Task<void> opening(Caller& caller, Address address, std::string setup) {
    bool opened = co_await caller.channel->open(address, clock.now() + 2s);
    if (!opened) {
      caller.reply = WireReply{};
      co_return;
    }
    auto space = setup.find(' ');
    std::string id = space == std::string::npos ? "" : setup.substr(space + 1);
    caller.reply = co_await caller.channel->setUp(setup.substr(0, space), "pool", id, clock.now() + 2s);
  }
  Task<void> asking(Caller& caller, std::string text) {
    caller.reply = co_await caller.channel->query(caller.next, text, clock.now() + 10s);
  }
};

}  // namespace tamarindshift::testing

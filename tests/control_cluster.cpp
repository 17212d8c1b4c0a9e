#include "tests/control_cluster.hpp"

#include "tests/door_asking.hpp"

namespace tamarindshift {

namespace {

Address replicaAddress(std::size_t index) {
  return Address{"10.0.0." + std::to_string(index + 1) + ":1"};
}

}  // namespace

ControlCluster::ControlCluster(bool rations)
    : world(7),
      network(world),
      testClock(world),
      databases(testClock,
                [this](DatabaseHeartbeat heartbeat) {
                  return replica(heartbeat.number % 3).heartbeat(heartbeat);
                }),
      disks(3),
      nodeLink(network, testClock, Address{"10.1.0.1:1"}),
      nodeDesk(testClock, nodeLink, 1) {
  for (std::size_t index = 0; index < 3; ++index) {
    replicaClocks.push_back(std::make_unique<SimulatedClock>(world));
    auto& clock = *replicaClocks.back();
    journals.push_back(std::make_unique<SimulatedJournal>("replica", [](const std::string&) {}));
    links.push_back(std::make_unique<SimulatedLink>(network, clock, replicaAddress(index)));
    stores.push_back(std::make_unique<SimulatedStore>(clock, disks[index], 3ms));
    ReplicaSettings settings;
    settings.address = replicaAddress(index);
    settings.zone = Zone{"z1"};
    settings.seeds = {replicaAddress(0), replicaAddress(1), replicaAddress(2)};
    settings.timings.databaseHeartbeat = 1200ms;
    settings.rations = rations;
    replicas.push_back(
        std::make_unique<ReplicaNode>(clock, *links.back(), *stores.back(), databases, *journals.back(), settings, world.incarnation()));
    REQUIRE_FALSE(replicas.back()->start());
  }
  report.node = Address{"10.1.0.1:1"};
  report.zone = Zone{"z1"};
  report.boot = 5;
  scope.spawn(sendReports());
  run(3s);
}

ControlCluster::~ControlCluster() {
  scope.clear();
  replicas.clear();
}

Task<void> ControlCluster::sendReports() {
  for (;;) {
    if (followsUpdates && replica(0).state().services().contains(ServiceName{"s1"})) {
      auto& own = report.services[ServiceName{"s1"}];
      own.epoch = service().epoch;
      own.appliedPosition = replica(0).state().position();
    }
    auto bytes = packed(report);
    for (std::size_t index = 0; index < 3 && sendsReports; ++index) nodeDesk.tell(replicaAddress(index), "report", bytes);
    co_await sleep(testClock, 50ms);
  }
}

bool ControlCluster::runUntil(Duration atMost, const std::function<bool()>& reached) {
  auto deadline = world.now() + atMost;
  while (world.now() < deadline && !reached()) run(5ms);
  return reached();
}

DoorReply ControlCluster::awaitReply(Task<DoorReply> task) {
  return answered(
      std::move(task),
      [this] {
        run(5ms);
      },
      2000);
}

std::string ControlCluster::discoveredService(std::uint32_t syncReplicas) const {
  return nlohmann::json{{"discovery", "heartbeats"},
                        {"sync-replicas", syncReplicas},
                        {"quota", {{"connections", 10}, {"branches", {{"b", {{"connections", 10}}}}}}}}
      .dump();
}

void ControlCluster::applyPlan(std::uint64_t mark, const std::string& service) {
  nlohmann::json plan{{"mark", mark}, {"services", {{"s1", nlohmann::json::parse(service)}}}, {"kinds", nlohmann::json::object()}};
  auto reply = awaitReply(replica(0).replacePlan(plan.dump()));
  INFO(reply.body);
  REQUIRE(reply.status == 200);
}

void ControlCluster::startDatabase(const std::string& name, const std::string& role, Position position) {
  DatabaseHeartbeat heartbeat;
  heartbeat.service = ServiceName{"s1"};
  heartbeat.database = DatabaseName{name};
  heartbeat.role = role;
  heartbeat.address = Address{"10.2.0." + name.substr(1) + ":1"};
  heartbeat.zone = Zone{"z1"};
  heartbeat.capacity = 10;
  databases.add(heartbeat, LogPosition{Epoch{3}, position});
}

std::uint64_t ControlCluster::counterSum(const std::string& name) {
  std::uint64_t sum = 0;
  for (const auto& journal : journals)
    if (auto found = journal->counters().find(name); found != journal->counters().end()) sum += found->second;
  return sum;
}

}  // namespace tamarindshift

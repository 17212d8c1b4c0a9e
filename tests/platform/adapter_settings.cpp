#include "tests/platform/adapter_settings.hpp"

#include "platform/seeds_setting.hpp"

namespace tamarindshift::testing {

namespace {

Timings timings(const PlatformProcess& process) {
  const auto& bounds = process.shape().bounds;
  Timings laid;
  laid.planFollowed = bounds.configApply;
  laid.detach = bounds.drain;
  laid.stop = bounds.grace;
  laid.stopTransactions = bounds.grace / 2;
  return laid;
}

std::set<Address> peers(const PlatformProcess& process) {
  platform::Seeds seeds;
  seeds.control.insert(process.seeds.begin(), process.seeds.end());
  seeds.peerPort = PlatformMachine::internalPort;
  return seeds.peers();
}

}  // namespace

AgentSettings agentSettings(const PlatformProcess& process) {
  AgentSettings settings;
  settings.address = process.machine().internal();
  settings.zone = Zone{process.machine().zone};
  settings.seeds = peers(process);
  settings.databaseReports = false;
  settings.timings = timings(process);
  return settings;
}

PoolerSettings poolerSettings(const PlatformProcess& process) {
  PoolerSettings settings;
  settings.node = process.machine().internal();
  settings.zone = Zone{process.machine().zone};
  settings.timings = timings(process);
  return settings;
}

ReplicaSettings replicaSettings(const PlatformProcess& process) {
  ReplicaSettings settings;
  settings.address = process.machine().internal();
  settings.zone = Zone{process.machine().zone};
  settings.seeds = peers(process);
  settings.timings = timings(process);
  settings.timings.databaseHeartbeat = 1200ms;
  settings.mayBootstrap = process.machine().firstStart;
  settings.toleratedLosses = process.shape().losses;
  settings.rations = true;
  return settings;
}

}  // namespace tamarindshift::testing

#include "control/access_tables.hpp"

#include <algorithm>

namespace tamarindshift {

bool AccessTables::noteReport(const NodeReport& report, Instant now) {
  auto& held = nodes_[report.node];
  auto tells = [](const NodeReport& each) {
    std::map<ServiceName, std::tuple<Epoch, std::uint64_t, std::set<DatabaseName>, std::set<DatabaseName>>> told;
    for (const auto& [service, own] : each.services) told.emplace(service, std::tuple(own.epoch, own.followed, own.suspects, own.strained));
    return std::tuple(each.boot, each.draining, std::move(told));
  };
  if (!report.whole && held.report.boot != report.boot) return false;
  auto before = tells(held.report);
  if (held.report.boot != report.boot) lastLost_ = std::max(lastLost_, held.heardAt);
  auto services = report.whole ? std::map<ServiceName, ServiceReport>{} : std::move(held.report.services);
  for (const auto& [service, own] : report.services) services[service] = own;
  held = Node{report, now};
  held.report.services = std::move(services);
  held.report.whole = true;
  for (const auto& [service, own] : report.services) acknowledged_[service] = std::max(acknowledged_[service], own.acknowledged);
  return before != tells(held.report);
}

bool AccessTables::older(const DatabaseHeartbeat& heartbeat, Instant now, Duration silence) const {
  const auto* held = database(heartbeat.service, heartbeat.database);
  if (!held) return false;
  bool mayStartAgain = heartbeat.boot == 0 && now - held->heardAt > numbersRise;
  bool repeated = held->heartbeat.boot == heartbeat.boot && heartbeat.number <= held->heartbeat.number && !mayStartAgain;
  bool olderBoot = heartbeat.boot < held->heartbeat.boot && now - held->heardAt <= silence;
  return repeated || olderBoot;
}

bool AccessTables::noteHeartbeat(const DatabaseHeartbeat& heartbeat, Instant now, Duration silence) {
  if (older(heartbeat, now, silence)) return false;
  std::erase_if(databases_, [&](const auto& each) { return !each.second.heartbeat.address.get().empty() && now - each.second.heardAt > databasesKept; });
  databases_[{heartbeat.service, heartbeat.database}] = Database{heartbeat, now};
  return true;
}

const AccessTables::Database* AccessTables::database(const ServiceName& service, const DatabaseName& database) const {
  auto found = databases_.find({service, database});
  return found == databases_.end() ? nullptr : &found->second;
}

std::vector<DatabaseSign> AccessTables::signs(const ServiceName& service, Instant now) const {
  std::vector<DatabaseSign> signs;
  for (const auto& [key, held] : databases_)
    if (key.first == service)
      signs.push_back(DatabaseSign{key.second.get(), held.heartbeat.role, held.heartbeat.epoch.get(), held.heartbeat.position.get(),
                                   held.heartbeat.contactAge + (now - held.heardAt), now - held.heardAt, held.heartbeat.leaving});
  return signs;
}

Place AccessTables::acknowledged(const ServiceName& service) const {
  auto found = acknowledged_.find(service);
  return found == acknowledged_.end() ? Place{} : found->second;
}

void AccessTables::forgetNodesBefore(Instant before) {
  std::erase_if(nodes_, [&](const auto& each) {
    if (each.second.heardAt >= before) return false;
    lastLost_ = std::max(lastLost_, each.second.heardAt);
    return true;
  });
}

}  // namespace tamarindshift

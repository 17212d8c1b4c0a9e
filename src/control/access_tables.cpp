#include "control/access_tables.hpp"

#include <algorithm>

namespace tamarindshift {

bool AccessTables::misses(const NodeReport& report) const {
  if (report.whole) return false;
  auto held = nodes_.find(report.node);
  return held == nodes_.end() || held->second.report.boot != report.boot ||
         (report.after != 0 && held->second.report.number != report.after);
}

bool AccessTables::noteReport(NodeReport report, Instant now) {
  auto& held = nodes_[report.node];
  bool sameBoot = held.report.boot == report.boot;
  if (!report.whole && !sameBoot) return false;
  if (misses(report)) {
    held.heardAt = now;
    return false;
  }
  if (!sameBoot) lastLost_ = std::max(lastLost_, held.heardAt);
  bool tells = !sameBoot || held.report.draining != report.draining;
  auto services = std::move(held.report.services);
  if (report.whole)
    std::erase_if(services, [&](const auto& each) {
      if (report.services.contains(each.first)) return false;
      ++sharesInputs_[each.first];
      return tells = true;
    });
  for (auto& [service, own] : report.services) {
    auto [before, fresh] = services.try_emplace(service, own);
    if (fresh || !sameBoot || std::tie(before->second.followed, before->second.wanted) != std::tie(own.followed, own.wanted))
      ++sharesInputs_[service];
    tells = tells || fresh ||
            std::tie(before->second.epoch, before->second.followed, before->second.suspects, before->second.strained) !=
                std::tie(own.epoch, own.followed, own.suspects, own.strained);
    auto& acknowledged = acknowledged_[service];
    acknowledged = std::max(acknowledged, own.acknowledged);
    if (!fresh) before->second = std::move(own);
  }
  report.services = std::move(services);
  report.whole = true;
  held = Node{std::move(report), now};
  return tells;
}

std::uint64_t AccessTables::sharesInputs(const ServiceName& service) const {
  auto found = sharesInputs_.find(service);
  return found == sharesInputs_.end() ? 0 : found->second;
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
  std::erase_if(databases_, [&](const auto& each) {
    return !each.second.heartbeat.address.get().empty() && now - each.second.heardAt > databasesKept;
  });
  databases_[{heartbeat.service, heartbeat.database}] = Database{heartbeat, now};
  return true;
}

const AccessTables::Database* AccessTables::database(const ServiceName& service, const DatabaseName& database) const {
  auto found = databases_.find({service, database});
  return found == databases_.end() ? nullptr : &found->second;
}

std::vector<DatabaseReport> AccessTables::signs(const ServiceName& service, Instant now) const {
  std::vector<DatabaseReport> signs;
  for (const auto& [key, held] : databases_)
    if (key.first == service)
      signs.push_back(DatabaseReport{key.second.get(), held.heartbeat.role, held.heartbeat.epoch.get(), held.heartbeat.position.get(),
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

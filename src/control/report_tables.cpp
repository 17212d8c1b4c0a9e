#include "control/report_tables.hpp"

#include <algorithm>

namespace tamarindshift {

bool ReportTables::lacksBase(const NodeReport& report) const {
  if (report.full) return false;
  auto held = nodes_.find(report.node);
  return held == nodes_.end() || held->second.report.boot != report.boot ||
         (report.baseNumber != 0 && held->second.report.number != report.baseNumber);
}

bool ReportTables::recordReport(NodeReport report, Instant now) {
  auto& held = nodes_[report.node];
  bool sameBoot = held.report.boot == report.boot;
  if (!report.full && !sameBoot) return false;
  if (lacksBase(report)) {
    held.lastContact = now;
    return false;
  }
  if (!sameBoot) lastContactOfLostNodes_ = std::max(lastContactOfLostNodes_, held.lastContact);
  bool changed = !sameBoot || held.report.draining != report.draining;
  auto services = std::move(held.report.services);
  if (report.full)
    std::erase_if(services, [&](const auto& each) {
      if (report.services.contains(each.first)) return false;
      ++shareInputsVersion_[each.first];
      return changed = true;
    });
  for (auto& [service, own] : report.services) {
    auto [before, inserted] = services.try_emplace(service, own);
    if (inserted || !sameBoot ||
        std::tie(before->second.appliedPosition, before->second.connectionDemand) != std::tie(own.appliedPosition, own.connectionDemand))
      ++shareInputsVersion_[service];
    changed = changed || inserted ||
              std::tie(before->second.epoch, before->second.appliedPosition, before->second.suspects, before->second.strained) !=
                  std::tie(own.epoch, own.appliedPosition, own.suspects, own.strained);
    auto& acknowledged = acknowledged_[service];
    acknowledged = std::max(acknowledged, own.acknowledged);
    if (!inserted) before->second = std::move(own);
  }
  report.services = std::move(services);
  report.full = true;
  held = Node{std::move(report), now};
  return changed;
}

std::uint64_t ReportTables::shareInputsVersion(const ServiceName& service) const {
  auto found = shareInputsVersion_.find(service);
  return found == shareInputsVersion_.end() ? 0 : found->second;
}

bool ReportTables::isOutdated(const DatabaseHeartbeat& heartbeat, Instant now, Duration silence) const {
  const auto* held = database(heartbeat.service, heartbeat.database);
  if (!held) return false;
  bool mayRestartNumbers = heartbeat.boot == 0 && now - held->lastContact > bootlessRestartSilence;
  bool repeated = held->heartbeat.boot == heartbeat.boot && heartbeat.number <= held->heartbeat.number && !mayRestartNumbers;
  bool olderBoot = heartbeat.boot < held->heartbeat.boot && now - held->lastContact <= silence;
  return repeated || olderBoot;
}

bool ReportTables::recordHeartbeat(const DatabaseHeartbeat& heartbeat, Instant now, Duration silence) {
  if (isOutdated(heartbeat, now, silence)) return false;
  std::erase_if(databases_, [&](const auto& each) {
    return !each.second.heartbeat.address.get().empty() && now - each.second.lastContact > heartbeatRetention;
  });
  databases_[{heartbeat.service, heartbeat.database}] = Database{heartbeat, now};
  return true;
}

const ReportTables::Database* ReportTables::database(const ServiceName& service, const DatabaseName& database) const {
  auto found = databases_.find({service, database});
  return found == databases_.end() ? nullptr : &found->second;
}

std::vector<DatabaseReport> ReportTables::databaseReports(const ServiceName& service, Instant now) const {
  std::vector<DatabaseReport> databaseReports;
  for (const auto& [key, held] : databases_)
    if (key.first == service)
      databaseReports.push_back(DatabaseReport{key.second.get(), held.heartbeat.role, held.heartbeat.epoch.get(),
                                               held.heartbeat.position.get(), held.heartbeat.contactAge + (now - held.lastContact),
                                               now - held.lastContact, held.heartbeat.leaving});
  return databaseReports;
}

LogPosition ReportTables::acknowledged(const ServiceName& service) const {
  auto found = acknowledged_.find(service);
  return found == acknowledged_.end() ? LogPosition{} : found->second;
}

void ReportTables::removeNodesSilentSince(Instant before) {
  std::erase_if(nodes_, [&](const auto& each) {
    if (each.second.lastContact >= before) return false;
    lastContactOfLostNodes_ = std::max(lastContactOfLostNodes_, each.second.lastContact);
    return true;
  });
}

}  // namespace tamarindshift

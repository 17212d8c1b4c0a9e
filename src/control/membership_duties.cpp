#include <algorithm>

#include "control/duties.hpp"

// Enrols nodes, drains databases that leave, and removes nodes and databases that have disconnected.

namespace tamarindshift {

Task<void> Duties::updateNodes() {
  updatingNodes_ = true;
  std::vector<NodeReport> reports;
  Proposals proposals;
  for (const auto& [address, node] : access_.nodes())
    if (reportIsRecent(node)) reports.push_back(node.report);
  for (const auto& report : reports) {
    auto known = state_.nodes().find(report.node);
    NodeCommand update{report.node, report.zone, report.boot};
    bool same = known != state_.nodes().end() && known->second.boot == report.boot && known->second.zone == report.zone;
    if (!same && !report.draining)
      proposals.emplace_back(ControlCommandType::enrolNode, packed(update));
    else if (same && report.draining && !known->second.draining)
      proposals.emplace_back(ControlCommandType::drainNode, packed(update));
  }
  co_await proposeAll(std::move(proposals));
  std::vector<NodeCommand> removals;
  for (const auto& [address, node] : state_.nodes()) {
    bool holds = std::any_of(state_.services().begin(), state_.services().end(), [&](const auto& each) {
      return each.second.hasShares(address);
    });
    if (!holds && silent(address)) removals.push_back(NodeCommand{address, node.zone, node.boot});
  }
  for (const auto& update : removals) {
    journal_.line("node " + update.node.get() + ": silent and without shares, removed");
    co_await propose(ControlCommandType::removeNode, packed(update));
  }
  updatingNodes_ = false;
}

Task<void> Duties::removeLostDatabases() {
  removingDatabases_ = true;
  std::vector<DatabaseCommand> removals;
  for (const auto& [service, databases] : state_.enrolled())
    for (const auto& [database, own] : databases) {
      auto served = state_.services().find(service);
      if (served != state_.services().end() &&
          (served->second.primary == database || (!served->second.promoted && served->second.lastConfirmedPrimary == database)))
        continue;
      const auto* contact = access_.database(service, database);
      const auto* drained = state_.drainMark(service, database);
      bool silent = clock_.now() - std::max(contact ? contact->lastContact : Instant{}, dutiesTakenAt_) > timings_.databaseGone;
      if (silent || (drained && drained->detached)) removals.push_back(DatabaseCommand{service, database, 0, 0, true});
    }
  for (const auto& update : removals) {
    journal_.line("database " + update.database.get() + " of service " + update.service.get() + ": detached or silent, removed");
    co_await propose(ControlCommandType::removeDatabase, packed(update));
  }
  removingDatabases_ = false;
}

Task<void> Duties::drainLeavingDatabases(ServiceName name) {
  std::vector<DatabaseCommand> leaving;
  for (const auto& [database, own] : state_.databases(name)) {
    const auto* contact = access_.database(name, database);
    if (!contact || !contact->heartbeat.leaving || !heartbeatIsRecent(*contact)) continue;
    if (!state_.services().at(name).drained.contains(database))
      leaving.push_back({name, database, contact->heartbeat.boot, contact->heartbeat.number, false});
  }
  for (const auto& update : leaving) {
    journal_.line("database " + update.database.get() + " of service " + name.get() + ": its heartbeat says that it leaves, drained");
    co_await propose(ControlCommandType::drainDatabase, packed(update));
  }
}

Task<void> Duties::readmitReturnedDatabases(ServiceName name) {
  // a discovered database leaves for good; the next database at its address has another name
  if (!state_.services().contains(name) || discovered(name)) co_return;
  std::vector<DatabaseName> returned;
  for (const auto& [database, mark] : state_.services().at(name).drained) {
    const auto* contact = access_.database(name, database);
    if (!contact || contact->heartbeat.leaving || !heartbeatIsRecent(*contact)) continue;
    if (contact->heartbeat.boot != mark.boot || contact->heartbeat.number > mark.number) returned.push_back(database);
  }
  for (const auto& database : returned) {
    journal_.line("database " + database.get() + " of service " + name.get() + ": back in service");
    DatabaseCommand update{name, database, 0, 0, false};
    co_await propose(ControlCommandType::returnDatabase, packed(update));
  }
}

}  // namespace tamarindshift

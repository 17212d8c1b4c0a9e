#include <algorithm>

#include "control/duties.hpp"

// Which nodes and databases there are: those that come, leave or are let go.

namespace tamarindshift {

Task<void> Duties::nodes() {
  nodesBusy_ = true;
  std::vector<NodeReport> reports;
  Orders orders;
  for (const auto& [address, node] : access_.nodes())
    if (reporting(node)) reports.push_back(node.report);
  for (const auto& report : reports) {
    auto known = state_.nodes().find(report.node);
    NodeCommand update{report.node, report.zone, report.boot};
    bool same = known != state_.nodes().end() && known->second.boot == report.boot && known->second.zone == report.zone;
    if (!same && !report.draining)
      orders.emplace_back(ControlCommandType::enrolNode, packed(update));
    else if (same && report.draining && !known->second.draining)
      orders.emplace_back(ControlCommandType::drainNode, packed(update));
  }
  co_await orderAll(std::move(orders));
  std::vector<NodeCommand> gone;
  for (const auto& [address, node] : state_.nodes()) {
    bool holds = std::any_of(state_.services().begin(), state_.services().end(), [&](const auto& each) {
      return each.second.hasShares(address);
    });
    if (!holds && silent(address)) gone.push_back(NodeCommand{address, node.zone, node.boot});
  }
  for (const auto& update : gone) {
    journal_.line("node " + update.node.get() + " is let go");
    co_await order(ControlCommandType::removeNode, packed(update));
  }
  nodesBusy_ = false;
}

Task<void> Duties::enrolments() {
  enrolmentsBusy_ = true;
  std::vector<DatabaseCommand> gone;
  for (const auto& [service, databases] : state_.enrolled())
    for (const auto& [database, own] : databases) {
      auto served = state_.services().find(service);
      if (served != state_.services().end() &&
          (served->second.primary == database || (!served->second.promoted && served->second.lastConfirmedPrimary == database)))
        continue;
      const auto* sign = access_.database(service, database);
      const auto* drained = state_.drainMark(service, database);
      bool silent = clock_.now() - std::max(sign ? sign->lastContact : Instant{}, takenAt_) > timings_.databaseGone;
      if (silent || (drained && drained->detached)) gone.push_back(DatabaseCommand{service, database, 0, 0, true});
    }
  for (const auto& update : gone) {
    journal_.line("database " + update.database.get() + " of " + update.service.get() + " is removed");
    co_await order(ControlCommandType::removeDatabase, packed(update));
  }
  enrolmentsBusy_ = false;
}

Task<void> Duties::departures(ServiceName name) {
  std::vector<DatabaseCommand> leaving;
  for (const auto& [database, own] : state_.databases(name)) {
    const auto* sign = access_.database(name, database);
    if (!sign || !sign->heartbeat.leaving || !fresh(*sign)) continue;
    if (!state_.services().at(name).drained.contains(database))
      leaving.push_back({name, database, sign->heartbeat.boot, sign->heartbeat.number, false});
  }
  for (const auto& update : leaving) {
    journal_.line("database " + update.database.get() + " leaves, its heartbeats say");
    co_await order(ControlCommandType::drainDatabase, packed(update));
  }
}

Task<void> Duties::returns(ServiceName name) {
  // one that is found by its heartbeats leaves for good; the next one at its address has another name
  if (!state_.services().contains(name) || discovered(name)) co_return;
  std::vector<DatabaseName> returned;
  for (const auto& [database, mark] : state_.services().at(name).drained) {
    const auto* sign = access_.database(name, database);
    if (!sign || sign->heartbeat.leaving || !fresh(*sign)) continue;
    if (sign->heartbeat.boot != mark.boot || sign->heartbeat.number > mark.number) returned.push_back(database);
  }
  for (const auto& database : returned) {
    journal_.line("database " + database.get() + " is back");
    DatabaseCommand update{name, database, 0, 0, false};
    co_await order(ControlCommandType::returnDatabase, packed(update));
  }
}

}  // namespace tamarindshift

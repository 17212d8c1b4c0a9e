#include "tests/platform/order_checks.hpp"

#include <algorithm>
#include <set>

#include "simulated/simulated_network.hpp"

namespace tamarindshift::testing {

void OrderChecks::check() {
  drained();
  stopped();
  recovered();
}

void OrderChecks::drained() {
  std::set<std::uint64_t> begun;
  for (const auto& run : history_.services.runs) {
    bool first = run.transaction == 0 || begun.insert(run.transaction).second;
    auto asked = index_.askedBy(run);
    if (!first || !asked || run.answer == "MISROUTED") continue;
    for (const auto& leave : history_.services.leaves) {
      if (leave.service != run.service || leave.database != run.database) continue;
      if (run.arrivedAt <= leave.acknowledgedAt + history_.bounds.drain) continue;
      auto from = leave.acknowledgedAt - history_.bounds.contact;
      if (!history_.troubles.inTouch(asked->attempt->node, from, run.arrivedAt) ||
          !history_.troubles.inTouch(leave.node, from, leave.acknowledgedAt))
        continue;
      broke("DRAIN", "'" + run.id + " " + run.text + "' reached " + run.database + " after it had left");
      break;
    }
  }
}

bool OrderChecks::lost(const PlannedStop& stop, const ClientTry& attempt, const ClientStatement& statement) const {
  if (statement.reply.end != WireEnd::closed || statement.text.starts_with("SETUP")) return false;
  auto at = statement.reply.at;
  if (at < stop.at || at > stop.at + history_.bounds.grace + 1s) return false;
  if (!history_.troubles.calm(attempt.node, statement.sentAt - history_.bounds.contact, at)) return false;
  bool passed = false;
  for (const auto* run : index_.runsOf(statement)) {
    bool working = run->endedAt == Instant{} || run->endedAt > stop.at + history_.bounds.grace / 2;
    if (run->brokenOff || working) return false;
    passed = true;
  }
  return passed || at - statement.sentAt > history_.bounds.lossSlack;
}

void OrderChecks::stopped() {
  for (const auto& stop : history_.troubles.stops)
    for (const auto& attempt : history_.clients.tries) {
      if (SimulatedNetwork::host(attempt.node) != stop.host) continue;
      for (const auto& statement : attempt.statements)
        if (lost(stop, attempt, statement))
          broke("LOST", "'" + statement.id + " " + statement.text + "' was cut off while " + stop.host + " was being stopped");
    }
}

void OrderChecks::recovered() {
  if (!history_.closingFault || !history_.backAt) return;
  std::size_t before = 0, servedBefore = 0, after = 0, servedAfter = 0;
  for (const auto& operation : history_.clients.operations) {
    if (operation.left || operation.visits || !operation.ended) continue;
    if (operation.endedAt < *history_.closingFault) {
      ++before;
      servedBefore += operation.served ? 1 : 0;
    } else if (operation.beganAt > *history_.backAt + history_.bounds.recovery) {
      ++after;
      servedAfter += operation.served ? 1 : 0;
    }
  }
  if (servedBefore * 4 < before || before == 0 || servedAfter * 4 >= after) return;
  broke("RECOVER", std::to_string(servedAfter) + " of " + std::to_string(after) + " were served after the closing fault");
}

}  // namespace tamarindshift::testing

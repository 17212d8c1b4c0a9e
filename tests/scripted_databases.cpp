#include "tests/scripted_databases.hpp"

namespace tamarindshift {

void ScriptedDatabases::add(const DatabaseHeartbeat& heartbeat, LogPosition logPosition) {
  auto& added = databases_[heartbeat.database];
  added = Database{};
  added.heartbeat = heartbeat;
  added.logPosition = logPosition;
  scope_.spawn(sendHeartbeats(heartbeat.database));
}

void ScriptedDatabases::sendHeartbeat(const std::string& name) {
  auto& own = at(name);
  ++own.heartbeat.number;
  if (own.up && !own.unreachable && !own.heartbeatsStopped) scope_.spawn(deliver(own.heartbeat));
}

std::uint64_t ScriptedDatabases::statusCalls() const {
  std::uint64_t sum = 0;
  for (const auto& [name, database] : databases_) sum += database.statusCalls;
  return sum;
}

Task<void> ScriptedDatabases::deliver(DatabaseHeartbeat heartbeat) {
  co_await deliver_(heartbeat);
}

Task<void> ScriptedDatabases::sendHeartbeats(DatabaseName name) {
  for (;;) {
    sendHeartbeat(name.get());
    co_await sleep(clock_, 1200ms);
  }
}

Task<bool> ScriptedDatabases::answers(DatabaseName name, Instant deadline) {
  auto found = databases_.find(name);
  if (found == databases_.end()) co_return false;
  if (found->second.unreachable)
    co_await sleep(clock_, deadline - clock_.now());
  else
    co_await sleep(clock_, 1ms);
  co_return found->second.up && !found->second.unreachable;
}

Task<std::optional<DatabaseStatus>> ScriptedDatabases::status(DatabaseTarget target, Instant deadline) {
  ++databases_[target.database].statusCalls;
  bool answered = co_await answers(target.database, deadline);
  if (!answered) co_return std::nullopt;
  co_return standing(databases_[target.database]);
}

Task<std::optional<DatabaseStatus>> ScriptedDatabases::demote(DatabaseTarget target, Epoch epoch, Instant deadline) {
  bool answered = co_await answers(target.database, deadline);
  if (!answered) co_return std::nullopt;
  auto& own = databases_[target.database];
  own.demotedWith.push_back(epoch);
  if (own.heartbeat.role == "primary" && epoch > own.logPosition.epoch) {
    own.demotedAt = clock_.now();
    own.heartbeat.role = "replica";
    sendHeartbeat(target.database.get());
  }
  co_return standing(own);
}

Task<PromotionOutcome> ScriptedDatabases::promote(DatabaseTarget target, Epoch, DutyHolder holder, Instant deadline) {
  holders_.push_back(holder);
  auto& own = databases_[target.database];
  ++own.promoteCalls;
  own.promoteCalledAt = clock_.now();
  if (own.promotion == PromotionOutcome::unanswered)
    co_await sleep(clock_, deadline - clock_.now());
  else
    co_await sleep(clock_, 5ms);
  if (own.promotion == PromotionOutcome::accepted && own.promotesWhenAccepted) scope_.spawn(becomePrimary(target.database));
  co_return own.promotion;
}

Task<void> ScriptedDatabases::becomePrimary(DatabaseName name) {
  co_await sleep(clock_, 300ms);
  auto& own = databases_[name];
  Epoch newest;
  for (const auto& [other, database] : databases_) newest = std::max(newest, database.term());
  if (own.heartbeat.role == "primary" && own.term() == newest) co_return;
  own.heartbeat.role = "primary";
  own.logPosition.epoch = own.newestTerm = Epoch{newest.get() + 1};
  own.becamePrimaryAt = clock_.now();
  sendHeartbeat(name.get());
}

}  // namespace tamarindshift

#include "pooler/back_end_pool.hpp"

#include <algorithm>
#include <limits>

namespace tamarindshift {

namespace {

/// Replies that the baseline latency of a database is learnt from.
constexpr std::uint32_t baselineReplies = 40;
/// Least time between the two checks that find a database silent.
constexpr Duration silenceConfirmation = 40ms;
/// The statistics of a database decay after this time without contact.
constexpr Duration decayAfter = 1s;
/// The mean latency decays towards this value, low enough for the database to get reads again.
constexpr double decayTargetMicros = 1000;
constexpr Duration decayInterval = 100ms;

}  // namespace

BackEndPool::BackEndPool(Clock& clock, BackEndConnector& connector, Journal& journal, std::function<void()> onChange, HasRoom hasRoom)
    : clock_(clock), connector_(connector), journal_(journal), onChange_(std::move(onChange)), hasRoom_(std::move(hasRoom)) {}

const BackEndPool::DatabasePool* BackEndPool::find(const DatabaseName& database) const {
  auto found = databasePools_.find(database);
  return found == databasePools_.end() ? nullptr : &found->second;
}

std::shared_ptr<PooledBackEnd> BackEndPool::takeIdle(const DatabaseName& database, const ClientSession& session,
                                                     const std::string& neededName, const PreparedStatement* neededPrepared) {
  auto& databasePool = databasePools_[database];
  std::erase_if(databasePool.idle, [&](const auto& connection) {
    if (connection->link->usable()) return false;
    journal_.count("pool.stale");
    return true;
  });
  // statements needed to match the session's state; a connection with unknown state comes last
  auto stateDistance = [&](const std::shared_ptr<PooledBackEnd>& connection) {
    if (connection->stateUnknown) return 4;
    int steps = 0;
    for (const auto& [name, value] : connection->values)
      if (!session.values.contains(name)) steps = 2;
    for (const auto& [name, value] : session.values)
      if (auto found = connection->values.find(name); found == connection->values.end() || found->second != value) ++steps;
    if (neededPrepared) {
      auto found = connection->prepared.find(neededName);
      if (found == connection->prepared.end())
        ++steps;
      else if (found->second != *neededPrepared)
        steps += 2;
    }
    return steps;
  };
  auto best = databasePool.idle.end();
  int least = 0;
  for (auto each = databasePool.idle.begin(); each != databasePool.idle.end(); ++each) {
    auto steps = stateDistance(*each);
    if (best != databasePool.idle.end() && steps >= least) continue;
    best = each;
    least = steps;
    if (steps == 0) break;
  }
  if (best == databasePool.idle.end()) return nullptr;
  auto connection = *best;
  databasePool.idle.erase(best);
  databasePool.busy.insert(connection);
  return connection;
}

bool BackEndPool::canOpen(const DatabaseName& database, std::uint32_t limit) {
  auto& databasePool = databasePools_[database];
  auto atOnce = databasePool.openBackoff > Duration::zero() || databasePool.suspected ? 1 : maxConcurrentOpens;
  return databasePool.total() < std::min(limit, overloadLimit(databasePool)) && databasePool.opening < atOnce &&
         clock_.now() >= databasePool.nextOpenAt;
}

void BackEndPool::open(DatabaseTarget target, Duration timeout) {
  auto& databasePool = databasePools_[target.database];
  ++databasePool.opening;
  journal_.count("pool.opens");
  scope_.spawn(openConnection(std::move(target), timeout));
}

Task<void> BackEndPool::openConnection(DatabaseTarget target, Duration timeout) {
  auto opened = co_await connector_.open(target, clock_.now() + timeout);
  auto& databasePool = databasePools_[target.database];
  --databasePool.opening;
  if (!opened.connection) {
    journal_.count("pool.opens_failed");
    bool none = opened.answered && databasePool.idle.empty() && databasePool.busy.empty();
    databasePool.openBackoff =
        std::clamp(2 * databasePool.openBackoff, minOpenBackoff, none ? maxBackoffWithoutConnections : maxOpenBackoff);
    databasePool.nextOpenAt = clock_.now() + databasePool.openBackoff;
    if (opened.fault == StatementFault::overloaded) noteOverload(target.database);
    if (opened.answered)
      databasePool.lastContactAt = clock_.now();
    else
      markSuspected(target.database);
    onChange_();
    co_return;
  }
  databasePool.openBackoff = Duration::zero();
  databasePool.suspected = false;
  databasePool.lastContactAt = clock_.now();
  if (!hasRoom_(target)) {
    journal_.count("pool.opened_in_vain");
    opened.connection->close();
    onChange_();
    co_return;
  }
  auto connection = std::make_shared<PooledBackEnd>();
  connection->target = std::move(target);
  connection->link = std::move(opened.connection);
  connection->usedAt = clock_.now();
  databasePool.idle.push_front(connection);
  onChange_();
}

void BackEndPool::noteOverload(const DatabaseName& database) {
  auto& databasePool = databasePools_[database];
  if (databasePool.overloadedAt && clock_.now() - *databasePool.overloadedAt < overloadRecoveryStep) return;
  auto held = static_cast<std::uint32_t>(databasePool.idle.size() + databasePool.busy.size());
  databasePool.overloadCap = std::max(minKeptOnOverload, held / 2);
  databasePool.overloadedAt = clock_.now();
  journal_.count("pool.crowded");
  trim(database, databasePool.overloadCap);
}

std::uint32_t BackEndPool::overloadLimit(const DatabasePool& databasePool) const {
  if (!databasePool.overloadedAt) return std::numeric_limits<std::uint32_t>::max();
  return databasePool.overloadCap + static_cast<std::uint32_t>((clock_.now() - *databasePool.overloadedAt) / overloadRecoveryStep);
}

void BackEndPool::release(const std::shared_ptr<PooledBackEnd>& connection) {
  if (connection->dropped || !connection->link->usable()) return drop(connection);
  auto& databasePool = databasePools_[connection->target.database];
  if (databasePool.busy.erase(connection) == 0) return;
  connection->usedAt = clock_.now();
  connection->asPrimary = false;
  connection->holder = nullptr;
  if (databasePool.total() < overloadLimit(databasePool))
    databasePool.idle.push_front(connection);
  else
    connection->link->close();
  onChange_();
}

void BackEndPool::drop(const std::shared_ptr<PooledBackEnd>& connection) {
  connection->dropped = true;
  connection->link->close();
  if (connection->running) return;
  if (databasePools_[connection->target.database].busy.erase(connection) == 0) return;
  journal_.count("pool.dropped");
  onChange_();
}

void BackEndPool::closeIdle(const DatabaseName& database) {
  auto found = databasePools_.find(database);
  if (found == databasePools_.end()) return;
  for (const auto& connection : found->second.idle) connection->link->close();
  found->second.idle.clear();
}

void BackEndPool::closeAll(const ServiceName& service) {
  for (auto& [database, databasePool] : databasePools_) {
    auto closed = std::erase_if(databasePool.idle, [&](const auto& connection) {
      if (connection->target.service != service) return false;
      connection->link->close();
      return true;
    });
    if (closed > 0) journal_.count("pool.lapsed", closed);
    auto busy = databasePool.busy;
    for (const auto& connection : busy)
      if (connection->target.service == service) drop(connection);
  }
}

void BackEndPool::trim(const DatabaseName& database, std::uint32_t limit) {
  auto& databasePool = databasePools_[database];
  while (!databasePool.idle.empty() && databasePool.total() > limit) {
    databasePool.idle.back()->link->close();
    databasePool.idle.pop_back();
    journal_.count("pool.trimmed");
  }
}

void BackEndPool::retainOnly(const std::set<DatabaseName>& known) {
  for (auto each = databasePools_.begin(); each != databasePools_.end();) {
    bool removed = !known.contains(each->first);
    if (removed) closeIdle(each->first);
    if (removed && each->second.busy.empty() && each->second.opening == 0)
      each = databasePools_.erase(each);
    else
      ++each;
  }
}

void BackEndPool::noteReply(const DatabaseName& database, Duration latency) {
  auto& databasePool = databasePools_[database];
  databasePool.lastContactAt = clock_.now();
  databasePool.suspected = false;
  auto micros = static_cast<double>(latency.count());
  databasePool.meanLatencyMicros = databasePool.meanLatencyMicros * 0.9 + micros * 0.1;
  if (databasePool.replies < baselineReplies) {
    ++databasePool.replies;
    databasePool.baselineLatencyMicros += (micros - databasePool.baselineLatencyMicros) / databasePool.replies;
    // not while the database is slow, so that a slow period does not become the baseline
  } else if (databasePool.meanLatencyMicros < 2 * databasePool.baselineLatencyMicros) {
    databasePool.baselineLatencyMicros += (micros - databasePool.baselineLatencyMicros) * 0.005;
  }
}

void BackEndPool::noteOutcome(const DatabaseName& database, bool succeeded) {
  auto& databasePool = databasePools_[database];
  databasePool.errorRate = databasePool.errorRate * 0.95 + (succeeded ? 0 : 0.05);
}

bool BackEndPool::DatabasePool::strained() const {
  bool slow = replies >= baselineReplies && meanLatencyMicros > 3.5 * baselineLatencyMicros && meanLatencyMicros > 20000;
  return slow || errorRate > 0.1;
}

std::uint32_t BackEndPool::DatabasePool::busyAboveOrder(std::uint32_t order) const {
  return static_cast<std::uint32_t>(std::count_if(busy.begin(), busy.end(), [order](const auto& connection) {
    return connection->order > order;
  }));
}

void BackEndPool::markSuspected(const DatabaseName& database) {
  auto& databasePool = databasePools_[database];
  if (!databasePool.suspected) journal_.line("database " + database.get() + ": suspected, no reply or no connection");
  databasePool.suspected = true;
  databasePool.lastProbeAt = clock_.now();
  closeIdle(database);
}

void BackEndPool::suspectSilent(Duration timeout) {
  auto now = clock_.now();
  for (auto& [database, databasePool] : databasePools_) {
    if (databasePool.suspected) continue;
    auto limit = std::max(timeout, Duration{static_cast<Duration::rep>(databasePool.meanLatencyMicros * 6)});
    bool silent = std::any_of(databasePool.busy.begin(), databasePool.busy.end(), [&](const auto& connection) {
      return connection->running && now - connection->usedAt > limit && now - databasePool.lastContactAt > limit;
    });
    silent = silent || (databasePool.lastTimeoutAt > databasePool.lastContactAt && now - databasePool.lastContactAt > limit);
    if (!silent) {
      databasePool.silenceSeenAt.reset();
      continue;
    }
    if (!databasePool.silenceSeenAt) databasePool.silenceSeenAt = now;
    if (now - *databasePool.silenceSeenAt < silenceConfirmation) continue;
    databasePool.silenceSeenAt.reset();
    journal_.count("pool.silent");
    markSuspected(database);
    closeBusy(database, false, Epoch{});
  }
}

void BackEndPool::noteTimeout(const DatabaseName& database) {
  databasePools_[database].lastTimeoutAt = clock_.now();
}

void BackEndPool::decayStatistics() {
  if (clock_.now() - decayedAt_ < decayInterval) return;
  decayedAt_ = clock_.now();
  for (auto& [database, databasePool] : databasePools_) {
    if (databasePool.replies == 0 || clock_.now() - databasePool.lastContactAt < decayAfter) continue;
    databasePool.meanLatencyMicros += (decayTargetMicros - databasePool.meanLatencyMicros) * 0.02;
    databasePool.errorRate *= 0.98;
  }
}

bool BackEndPool::checkingSilence() const {
  return std::any_of(databasePools_.begin(), databasePools_.end(), [](const auto& each) {
    return each.second.silenceSeenAt.has_value();
  });
}

void BackEndPool::closeBusy(const DatabaseName& database, bool onlyPrimaryWork, Epoch before, bool betweenStatementsOnly) {
  auto found = databasePools_.find(database);
  if (found == databasePools_.end()) return;
  auto busy = found->second.busy;
  for (const auto& connection : busy) {
    if (onlyPrimaryWork ? !connection->asPrimary || connection->epoch >= before : connection->asPrimary) continue;
    if (betweenStatementsOnly && connection->running) continue;
    journal_.count("pool.cut");
    drop(connection);
  }
}

void BackEndPool::dropBusy() {
  for (auto& [database, databasePool] : databasePools_) {
    auto busy = databasePool.busy;
    for (const auto& connection : busy) drop(connection);
  }
}

std::size_t BackEndPool::connections() const {
  std::size_t sum = 0;
  for (const auto& [database, databasePool] : databasePools_) sum += databasePool.total();
  return sum;
}

}  // namespace tamarindshift

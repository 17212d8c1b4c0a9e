#include "pooler/back_end_pool.hpp"

#include <algorithm>
#include <limits>

namespace tamarindshift {

namespace {

constexpr std::uint32_t learnt = 40;
constexpr Duration secondLook = 40ms;
constexpr Duration fadesAfter = 1s;
constexpr double fadesTo = 1000;
constexpr Duration mellowPause = 100ms;

}  // namespace

BackEndPool::BackEndPool(Clock& clock, BackEnds& backEnds, Journal& journal, std::function<void()> changed, Fits fits)
    : clock_(clock), backEnds_(backEnds), journal_(journal), changed_(std::move(changed)), fits_(std::move(fits)) {}

const BackEndPool::Shelf* BackEndPool::find(const DatabaseName& database) const {
  auto found = shelves_.find(database);
  return found == shelves_.end() ? nullptr : &found->second;
}

std::shared_ptr<PooledBackEnd> BackEndPool::takeIdle(const DatabaseName& database, const ClientSession& session,
                                                     const std::string& preparedName, const PreparedStatement* wantsPrepared) {
  auto& shelf = shelves_[database];
  std::erase_if(shelf.idle, [&](const auto& connection) {
    if (connection->link->usable()) return false;
    journal_.count("pool.stale");
    return true;
  });
  auto misfit = [&](const std::shared_ptr<PooledBackEnd>& connection) {
    if (connection->dubious) return 4;
    int steps = 0;
    for (const auto& [name, value] : connection->values)
      if (!session.values.contains(name)) steps = 2;
    for (const auto& [name, value] : session.values)
      if (auto found = connection->values.find(name); found == connection->values.end() || found->second != value) ++steps;
    if (wantsPrepared) {
      auto found = connection->prepared.find(preparedName);
      if (found == connection->prepared.end())
        ++steps;
      else if (found->second != *wantsPrepared)
        steps += 2;
    }
    return steps;
  };
  auto best = shelf.idle.end();
  int least = 0;
  for (auto each = shelf.idle.begin(); each != shelf.idle.end(); ++each) {
    auto steps = misfit(*each);
    if (best != shelf.idle.end() && steps >= least) continue;
    best = each;
    least = steps;
    if (steps == 0) break;
  }
  if (best == shelf.idle.end()) return nullptr;
  auto connection = *best;
  shelf.idle.erase(best);
  shelf.busy.insert(connection);
  return connection;
}

bool BackEndPool::mayOpen(const DatabaseName& database, std::uint32_t most) {
  auto& shelf = shelves_[database];
  auto atOnce = shelf.openPause > Duration::zero() || shelf.suspect ? 1 : mostOpening;
  return shelf.total() < std::min(most, bound(shelf)) && shelf.opening < atOnce && clock_.now() >= shelf.openAfter;
}

void BackEndPool::open(DatabaseTarget target, Duration patience) {
  auto& shelf = shelves_[target.database];
  ++shelf.opening;
  journal_.count("pool.opens");
  scope_.spawn(opening(std::move(target), patience));
}

Task<void> BackEndPool::opening(DatabaseTarget target, Duration patience) {
  auto opened = co_await backEnds_.open(target, clock_.now() + patience);
  auto& shelf = shelves_[target.database];
  --shelf.opening;
  if (!opened.connection) {
    journal_.count("pool.opens_failed");
    bool none = opened.answered && shelf.idle.empty() && shelf.busy.empty();
    shelf.openPause = std::clamp(2 * shelf.openPause, leastOpenPause, none ? mostPauseWithNone : mostOpenPause);
    shelf.openAfter = clock_.now() + shelf.openPause;
    if (opened.fault == StatementFault::overloaded) crowded(target.database);
    if (opened.answered)
      shelf.heardAt = clock_.now();
    else
      unreachable(target.database);
    changed_();
    co_return;
  }
  shelf.openPause = Duration::zero();
  shelf.suspect = false;
  shelf.heardAt = clock_.now();
  if (!fits_(target)) {
    journal_.count("pool.opened_in_vain");
    opened.connection->close();
    changed_();
    co_return;
  }
  auto connection = std::make_shared<PooledBackEnd>();
  connection->target = std::move(target);
  connection->link = std::move(opened.connection);
  connection->usedAt = clock_.now();
  shelf.idle.push_front(connection);
  changed_();
}

void BackEndPool::crowded(const DatabaseName& database) {
  auto& shelf = shelves_[database];
  if (shelf.crowdedAt && clock_.now() - *shelf.crowdedAt < crowdedStep) return;
  auto held = static_cast<std::uint32_t>(shelf.idle.size() + shelf.busy.size());
  shelf.crowdedMost = std::max(leastKept, held / 2);
  shelf.crowdedAt = clock_.now();
  journal_.count("pool.crowded");
  trim(database, shelf.crowdedMost);
}

std::uint32_t BackEndPool::bound(const Shelf& shelf) const {
  if (!shelf.crowdedAt) return std::numeric_limits<std::uint32_t>::max();
  return shelf.crowdedMost + static_cast<std::uint32_t>((clock_.now() - *shelf.crowdedAt) / crowdedStep);
}

void BackEndPool::release(const std::shared_ptr<PooledBackEnd>& connection) {
  if (connection->cut || !connection->link->usable()) return drop(connection);
  auto& shelf = shelves_[connection->target.database];
  if (shelf.busy.erase(connection) == 0) return;
  connection->usedAt = clock_.now();
  connection->asPrimary = false;
  connection->holder = nullptr;
  if (shelf.total() < bound(shelf))
    shelf.idle.push_front(connection);
  else
    connection->link->close();
  changed_();
}

void BackEndPool::drop(const std::shared_ptr<PooledBackEnd>& connection) {
  connection->cut = true;
  connection->link->close();
  if (connection->running) return;
  if (shelves_[connection->target.database].busy.erase(connection) == 0) return;
  journal_.count("pool.dropped");
  changed_();
}

void BackEndPool::closeIdle(const DatabaseName& database) {
  auto found = shelves_.find(database);
  if (found == shelves_.end()) return;
  for (const auto& connection : found->second.idle) connection->link->close();
  found->second.idle.clear();
}

void BackEndPool::closeAll(const ServiceName& service) {
  for (auto& [database, shelf] : shelves_) {
    auto closed = std::erase_if(shelf.idle, [&](const auto& connection) {
      if (connection->target.service != service) return false;
      connection->link->close();
      return true;
    });
    if (closed > 0) journal_.count("pool.lapsed", closed);
    auto busy = shelf.busy;
    for (const auto& connection : busy)
      if (connection->target.service == service) drop(connection);
  }
}

void BackEndPool::trim(const DatabaseName& database, std::uint32_t most) {
  auto& shelf = shelves_[database];
  while (!shelf.idle.empty() && shelf.total() > most) {
    shelf.idle.back()->link->close();
    shelf.idle.pop_back();
    journal_.count("pool.trimmed");
  }
}

void BackEndPool::forget(const std::set<DatabaseName>& known) {
  for (auto each = shelves_.begin(); each != shelves_.end();) {
    bool gone = !known.contains(each->first);
    if (gone) closeIdle(each->first);
    if (gone && each->second.busy.empty() && each->second.opening == 0)
      each = shelves_.erase(each);
    else
      ++each;
  }
}

void BackEndPool::heard(const DatabaseName& database, Duration taken) {
  auto& shelf = shelves_[database];
  shelf.heardAt = clock_.now();
  shelf.suspect = false;
  auto micros = static_cast<double>(taken.count());
  shelf.meanTaken = shelf.meanTaken * 0.9 + micros * 0.1;
  if (shelf.replies < learnt) {
    ++shelf.replies;
    shelf.usualTaken += (micros - shelf.usualTaken) / shelf.replies;
  } else if (shelf.meanTaken < 2 * shelf.usualTaken) {
    shelf.usualTaken += (micros - shelf.usualTaken) * 0.005;
  }
}

void BackEndPool::ended(const DatabaseName& database, bool well) {
  auto& shelf = shelves_[database];
  shelf.faulty = shelf.faulty * 0.95 + (well ? 0 : 0.05);
}

bool BackEndPool::Shelf::strained() const {
  bool slow = replies >= learnt && meanTaken > 3.5 * usualTaken && meanTaken > 20000;
  return slow || faulty > 0.1;
}

std::uint32_t BackEndPool::Shelf::busyAfter(std::uint32_t order) const {
  return static_cast<std::uint32_t>(std::count_if(busy.begin(), busy.end(), [order](const auto& connection) {
    return connection->order > order;
  }));
}

void BackEndPool::unreachable(const DatabaseName& database) {
  auto& shelf = shelves_[database];
  if (!shelf.suspect) journal_.line("database " + database.get() + " is suspected");
  shelf.suspect = true;
  shelf.trialAt = clock_.now();
  closeIdle(database);
}

void BackEndPool::watch(Duration patience) {
  auto now = clock_.now();
  for (auto& [database, shelf] : shelves_) {
    if (shelf.suspect) continue;
    auto limit = std::max(patience, Duration{static_cast<Duration::rep>(shelf.meanTaken * 6)});
    bool silent = std::any_of(shelf.busy.begin(), shelf.busy.end(), [&](const auto& connection) {
      return connection->running && now - connection->usedAt > limit && now - shelf.heardAt > limit;
    });
    silent = silent || (shelf.gaveUpAt > shelf.heardAt && now - shelf.heardAt > limit);
    if (!silent) {
      shelf.doubtedAt.reset();
      continue;
    }
    if (!shelf.doubtedAt) shelf.doubtedAt = now;
    if (now - *shelf.doubtedAt < secondLook) continue;
    shelf.doubtedAt.reset();
    journal_.count("pool.silent");
    unreachable(database);
    cutBusy(database, false, Epoch{});
  }
}

void BackEndPool::gaveUp(const DatabaseName& database) {
  shelves_[database].gaveUpAt = clock_.now();
}

void BackEndPool::mellow() {
  if (clock_.now() - mellowedAt_ < mellowPause) return;
  mellowedAt_ = clock_.now();
  for (auto& [database, shelf] : shelves_) {
    if (shelf.replies == 0 || clock_.now() - shelf.heardAt < fadesAfter) continue;
    shelf.meanTaken += (fadesTo - shelf.meanTaken) * 0.02;
    shelf.faulty *= 0.98;
  }
}

bool BackEndPool::doubting() const {
  return std::any_of(shelves_.begin(), shelves_.end(), [](const auto& each) {
    return each.second.doubtedAt.has_value();
  });
}

void BackEndPool::cutBusy(const DatabaseName& database, bool onlyPrimaryWork, Epoch before, bool notRunning) {
  auto found = shelves_.find(database);
  if (found == shelves_.end()) return;
  auto busy = found->second.busy;
  for (const auto& connection : busy) {
    if (onlyPrimaryWork ? !connection->asPrimary || connection->epoch >= before : connection->asPrimary) continue;
    if (notRunning && connection->running) continue;
    journal_.count("pool.cut");
    drop(connection);
  }
}

std::size_t BackEndPool::connections() const {
  std::size_t sum = 0;
  for (const auto& [database, shelf] : shelves_) sum += shelf.total();
  return sum;
}

}  // namespace tamarindshift

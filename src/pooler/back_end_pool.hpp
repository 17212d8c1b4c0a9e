#pragma once

#include <list>
#include <set>

#include "base/clock.hpp"
#include "base/journal.hpp"
#include "base/task_scope.hpp"
#include "pooler/client_session.hpp"

namespace tamarindshift {

class BackEndPool {
 public:
  struct Shelf {
    std::list<std::shared_ptr<PooledBackEnd>> idle;
    std::set<std::shared_ptr<PooledBackEnd>> busy;
    std::uint32_t opening = 0;
    Instant openAfter{};
    Duration openPause{};
    // what is kept at most since the database said that it holds too many connections
    std::uint32_t crowdedMost = 0;
    std::optional<Instant> crowdedAt;
    Instant heardAt{};
    bool suspect = false;
    Instant trialAt{};
    std::optional<Instant> doubtedAt;
    Instant gaveUpAt{};
    Instant behindUntil{};
    LogPosition place;
    double meanTaken = 8000;
    double usualTaken = 0;
    double faulty = 0;
    std::uint32_t replies = 0;
    // its work takes far longer than it used to, or fails too often, while it answers
    bool strained() const;
    // time that work of each order kept connections running since the last report
    std::map<std::uint32_t, Duration> ran;
    std::uint32_t busyAfter(std::uint32_t order) const;
    std::uint32_t total() const { return static_cast<std::uint32_t>(idle.size() + busy.size()) + opening; }
  };

  using Fits = std::function<bool(const DatabaseTarget&)>;
  // `fits` says whether one more connection may be held when it has been opened
  BackEndPool(Clock& clock, BackEnds& backEnds, Journal& journal, std::function<void()> changed, Fits fits);

  Shelf& shelf(const DatabaseName& database) { return shelves_[database]; }
  const Shelf* find(const DatabaseName& database) const;
  const std::map<DatabaseName, Shelf>& shelves() const { return shelves_; }
  std::shared_ptr<PooledBackEnd> takeIdle(const DatabaseName& database, const ClientSession& session, const std::string& preparedName,
                                          const PreparedStatement* wantsPrepared);
  bool mayOpen(const DatabaseName& database, std::uint32_t most);
  void open(DatabaseTarget target, Duration patience);
  void release(const std::shared_ptr<PooledBackEnd>& connection);
  void drop(const std::shared_ptr<PooledBackEnd>& connection);
  void closeIdle(const DatabaseName& database);
  void closeAll(const ServiceName& service);
  void trim(const DatabaseName& database, std::uint32_t most);
  void forget(const std::set<DatabaseName>& known);
  void heard(const DatabaseName& database, Duration taken);
  // a statement ended by its database's doing, well or not
  void ended(const DatabaseName& database, bool well);
  void unreachable(const DatabaseName& database);
  // suspects databases that left running work without a word for longer than `patience`, seen at two looks
  // between which words that had come could be read
  void watch(Duration patience);
  bool doubting() const;
  // work on the database was given up while it said nothing
  void gaveUp(const DatabaseName& database);
  // what is known of databases that got no work for a while fades
  void mellow();
  void cutBusy(const DatabaseName& database, bool onlyPrimaryWork, Epoch before, bool notRunning = false);
  std::size_t connections() const;

 private:
  Task<void> opening(DatabaseTarget target, Duration patience);
  // others may have none: half of the connections are given back, and won again one by one
  void crowded(const DatabaseName& database);
  std::uint32_t bound(const Shelf& shelf) const;
  static constexpr std::uint32_t mostOpening = 4;
  static constexpr Duration leastOpenPause = 50ms;
  static constexpr Duration mostOpenPause = 1s;
  static constexpr Duration mostPauseWithNone = 200ms;
  static constexpr std::uint32_t leastKept = 2;
  static constexpr Duration crowdedStep = 250ms;

  Clock& clock_;
  BackEnds& backEnds_;
  Journal& journal_;
  std::function<void()> changed_;
  Fits fits_;
  std::map<DatabaseName, Shelf> shelves_;
  Instant mellowedAt_{};
  TaskScope scope_;
};

}  // namespace tamarindshift

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
  struct DatabasePool {
    std::list<std::shared_ptr<PooledBackEnd>> idle;
    std::set<std::shared_ptr<PooledBackEnd>> busy;
    std::uint32_t opening = 0;
    Instant nextOpenAt{};
    Duration openBackoff{};
    // what is kept at most since the database said that it holds too many connections
    std::uint32_t overloadCap = 0;
    std::optional<Instant> overloadedAt;
    Instant lastContactAt{};
    bool suspected = false;
    Instant lastProbeAt{};
    std::optional<Instant> silenceSeenAt;
    Instant lastTimeoutAt{};
    Instant behindUntil{};
    Place logPosition;
    double meanLatencyMicros = 8000;
    double baselineLatencyMicros = 0;
    double errorRate = 0;
    std::uint32_t replies = 0;
    // its work takes far longer than it used to, or fails too often, while it answers
    bool strained() const;
    // time that work of each order kept connections running since the last report
    std::map<std::uint32_t, Duration> runTime;
    std::uint32_t busyAboveOrder(std::uint32_t order) const;
    std::uint32_t total() const { return static_cast<std::uint32_t>(idle.size() + busy.size()) + opening; }
  };

  using HasRoom = std::function<bool(const DatabaseTarget&)>;
  // `fits` says whether one more connection may be held when it has been opened
  BackEndPool(Clock& clock, BackEndConnector& connector, Journal& journal, std::function<void()> onChange, HasRoom hasRoom);

  DatabasePool& forDatabase(const DatabaseName& database) { return databasePools_[database]; }
  const DatabasePool* find(const DatabaseName& database) const;
  const std::map<DatabaseName, DatabasePool>& databasePools() const { return databasePools_; }
  std::shared_ptr<PooledBackEnd> takeIdle(const DatabaseName& database, const ClientSession& session, const std::string& neededName,
                                          const PreparedStatement* neededPrepared);
  bool canOpen(const DatabaseName& database, std::uint32_t limit);
  void open(DatabaseTarget target, Duration timeout);
  void release(const std::shared_ptr<PooledBackEnd>& connection);
  void drop(const std::shared_ptr<PooledBackEnd>& connection);
  void closeIdle(const DatabaseName& database);
  void closeAll(const ServiceName& service);
  void trim(const DatabaseName& database, std::uint32_t limit);
  void retainOnly(const std::set<DatabaseName>& known);
  void noteReply(const DatabaseName& database, Duration latency);
  // a statement ended by its database's doing, well or not
  void noteOutcome(const DatabaseName& database, bool succeeded);
  void markSuspected(const DatabaseName& database);
  // suspects databases that left running work without a word for longer than `patience`, seen at two looks
  // between which words that had come could be read
  void suspectSilent(Duration timeout);
  bool checkingSilence() const;
  // work on the database was given up while it said nothing
  void noteTimeout(const DatabaseName& database);
  // what is known of databases that got no work for a while fades
  void decayStatistics();
  void closeBusy(const DatabaseName& database, bool onlyPrimaryWork, Epoch before, bool betweenStatementsOnly = false);
  std::size_t connections() const;

 private:
  Task<void> openConnection(DatabaseTarget target, Duration timeout);
  // others may have none: half of the connections are given back, and won again one by one
  void noteOverload(const DatabaseName& database);
  std::uint32_t overloadLimit(const DatabasePool& databasePool) const;
  static constexpr std::uint32_t maxConcurrentOpens = 4;
  static constexpr Duration minOpenBackoff = 50ms;
  static constexpr Duration maxOpenBackoff = 1s;
  static constexpr Duration maxBackoffWithoutConnections = 200ms;
  static constexpr std::uint32_t minKeptOnOverload = 2;
  static constexpr Duration overloadRecoveryStep = 250ms;

  Clock& clock_;
  BackEndConnector& connector_;
  Journal& journal_;
  std::function<void()> onChange_;
  HasRoom hasRoom_;
  std::map<DatabaseName, DatabasePool> databasePools_;
  Instant decayedAt_{};
  TaskScope scope_;
};

}  // namespace tamarindshift

/// Pool of database connections of one node, with the health and load statistics of each database.
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
  /// The connections to one database and what is known about it.
  struct DatabasePool {
    /// Most recently used first.
    std::list<std::shared_ptr<PooledBackEnd>> idle;
    std::set<std::shared_ptr<PooledBackEnd>> busy;
    /// Connections that are being opened.
    std::uint32_t opening = 0;
    Instant nextOpenAt{};
    /// Zero unless the last attempt to open a connection failed; doubles with each failure.
    Duration openBackoff{};
    /// Connections that may be held since the database reported too many connections; grows again with time.
    std::uint32_t overloadCap = 0;
    std::optional<Instant> overloadedAt;
    Instant lastContactAt{};
    /// Whether the database is suspected to be down; it gets no work until it answers again.
    bool suspected = false;
    /// When a suspected database was last tried.
    Instant lastProbeAt{};
    /// When it was first seen to be silent; unset once it has answered.
    std::optional<Instant> silenceSeenAt;
    /// When a statement on it last reached its deadline without a reply.
    Instant lastTimeoutAt{};
    /// Until then it is preferably not asked for positions beyond `logPosition`, since it replied `behind`.
    Instant behindUntil{};
    /// The highest log position that it has reported.
    LogPosition logPosition;
    /// Moving average of statement latency; the first value is a guess.
    double meanLatencyMicros = 8000;
    /// Latency under normal load, learnt from the first replies and adapted slowly.
    double baselineLatencyMicros = 0;
    /// Moving average of the share of statements that failed, from 0 to 1.
    double errorRate = 0;
    /// Replies that the baseline was learnt from.
    std::uint32_t replies = 0;
    /// Whether it answers, but far slower than its baseline or with too many errors.
    bool strained() const;
    /// Time for which statements of each precedence kept connections running since the last report.
    std::map<std::uint32_t, Duration> runTime;
    /// Busy connections that serve work of a later precedence than `order`.
    std::uint32_t busyAboveOrder(std::uint32_t order) const;
    /// All connections, with those that are being opened.
    std::uint32_t total() const { return static_cast<std::uint32_t>(idle.size() + busy.size()) + opening; }
  };

  using HasRoom = std::function<bool(const DatabaseTarget&)>;
  /// `onChange` is called when a connection may have become available. `hasRoom` is asked after a connection was opened
  /// whether it may still be held.
  BackEndPool(Clock& clock, BackEndConnector& connector, Journal& journal, std::function<void()> onChange, HasRoom hasRoom);

  /// Creates the entry if there is none.
  DatabasePool& forDatabase(const DatabaseName& database) { return databasePools_[database]; }
  const DatabasePool* find(const DatabaseName& database) const;
  const std::map<DatabaseName, DatabasePool>& databasePools() const { return databasePools_; }
  /// Takes the idle connection whose state needs the fewest statements to match the session; null if none is idle.
  std::shared_ptr<PooledBackEnd> takeIdle(const DatabaseName& database, const ClientSession& session, const std::string& neededName,
                                          const PreparedStatement* neededPrepared);
  /// Whether one more connection may be opened now if at most `limit` may be held.
  bool canOpen(const DatabaseName& database, std::uint32_t limit);
  /// Opens a connection in the background; it becomes idle, or is closed if there is no room for it any more.
  void open(DatabaseTarget target, Duration timeout);
  /// Returns a connection after use; one that can't be used again is closed.
  void release(const std::shared_ptr<PooledBackEnd>& connection);
  /// Closes a busy connection; one with a running statement stays listed as busy until that has returned.
  void drop(const std::shared_ptr<PooledBackEnd>& connection);
  void closeIdle(const DatabaseName& database);
  void closeAll(const ServiceName& service);
  /// Drops all busy connections.
  void dropBusy();
  /// Closes idle connections, the longest unused first, until at most `limit` are held.
  void trim(const DatabaseName& database, std::uint32_t limit);
  /// Closes the idle connections to all other databases and removes their entries once nothing is busy or being opened.
  void retainOnly(const std::set<DatabaseName>& known);
  /// The database replied after `latency`; it is no longer suspected.
  void noteReply(const DatabaseName& database, Duration latency);
  /// Updates the error rate with a statement that ended, unless the pooler itself ended it.
  void noteOutcome(const DatabaseName& database, bool succeeded);
  /// Takes the database for down and closes its idle connections.
  void markSuspected(const DatabaseName& database);
  /// Suspects databases that gave running work no reply for longer than `timeout` (or a multiple of their usual latency)
  /// and closes their busy connections. A second check has to confirm the silence, so that replies that have already
  /// arrived can be read in between.
  void suspectSilent(Duration timeout);
  /// Whether a database was silent at the last check and a second check is due.
  bool checkingSilence() const;
  /// A statement reached its deadline without a reply.
  void noteTimeout(const DatabaseName& database);
  /// Decays the statistics of databases that got no work for a while, so that they are tried again.
  void decayStatistics();
  /// Closes busy connections: with `onlyPrimaryWork` those with work for the primary of an epoch before `before`, else
  /// those with other work. `betweenStatementsOnly` spares those with a running statement.
  void closeBusy(const DatabaseName& database, bool onlyPrimaryWork, Epoch before, bool betweenStatementsOnly = false);
  std::size_t connections() const;

 private:
  Task<void> openConnection(DatabaseTarget target, Duration timeout);
  /// The database holds too many connections, and other nodes may have none: gives half of the connections back and
  /// regains them one by one.
  void noteOverload(const DatabaseName& database);
  std::uint32_t overloadLimit(const DatabasePool& databasePool) const;
  /// Per database.
  static constexpr std::uint32_t maxConcurrentOpens = 4;
  static constexpr Duration minOpenBackoff = 50ms;
  static constexpr Duration maxOpenBackoff = 1s;
  /// Upper bound of the back-off while the database answers but this node holds no connection to it.
  static constexpr Duration maxBackoffWithoutConnections = 200ms;
  static constexpr std::uint32_t minKeptOnOverload = 2;
  /// One more connection may be held after each such time; reports of overload within it count once.
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

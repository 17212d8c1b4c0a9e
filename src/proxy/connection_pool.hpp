// Connections to databases, bounded by the shares that this node holds.
#pragma once

#include <list>

#include "base/journal.hpp"
#include "proxy/service_directory.hpp"
#include "proxy/pooled_connection.hpp"

namespace tamarindshift {

/// Idle and busy connections for each database.
///
/// A node's share of a service bounds its busy connections to each database by branch, and all of them to each database by the sum of
/// the branches. A connection that is being opened counts as busy.
class ConnectionPool {
 public:
  ConnectionPool(Clock& clock, WebLink& link, Journal& journal);

  /// An idle connection, now busy for `branch`; null if there is none. Closes connections that turn out to be unusable.
  std::shared_ptr<PooledConnection> takeIdle(const ServiceName& service, const DatabaseName& database, const BranchName& branch);
  /// Whether the branch may have one more busy connection to the database.
  bool belowBranchLimit(const ServiceDirectory::ServiceView& view, const ServiceName& service, const DatabaseName& database,
                        const BranchName& branch) const;
  /// Whether a connection may be opened now: the share allows it, few are being opened, and no pause after a failure is underway.
  bool mayOpen(const ServiceDirectory::ServiceView& view, const ServiceName& service, const DatabaseName& database);
  /// Opens a connection that is busy for `branch`; null if that failed. Pauses between failed attempts grow from 100 ms to 1 s.
  Task<std::shared_ptr<PooledConnection>> open(ServiceName service, DatabaseName database, BranchName branch, Address address,
                                               Instant deadline);
  /// Makes a busy connection idle, or drops it if it is unusable.
  void release(const std::shared_ptr<PooledConnection>& connection);
  /// Closes a connection at once. One with a request underway counts as busy until that request has ended, as lost.
  void drop(const std::shared_ptr<PooledConnection>& connection);
  void closeAll(const ServiceName& service);
  /// Drops connections with a request underway that was sent under an epoch older than `epoch`.
  void closeBusyOfOlderEpochs(const ServiceName& service, Epoch epoch);
  /// Closes the connections of all services that are not in `services`.
  void closeAllExcept(const std::map<ServiceName, ServiceDirectory::ServiceView>& services);
  /// Closes idle connections beyond the share, and those to databases that were removed, moved or drained.
  void trim(const ServiceName& service, const ServiceDirectory::ServiceView& view);
  /// Busy connections beyond the limit of their branch; preferably those without a request underway.
  std::vector<std::shared_ptr<PooledConnection>> surplus(const ServiceName& service, const ServiceDirectory::ServiceView& view) const;
  /// Whether all connections of the service are within the share.
  bool within(const ServiceName& service, const ServiceDirectory::ServiceView& view) const;
  /// Counts a busy connection against another branch; false if that branch has no room.
  bool moveToBranch(const std::shared_ptr<PooledConnection>& connection, const ServiceDirectory::ServiceView& view,
                    const BranchName& branch);
  const std::set<std::shared_ptr<PooledConnection>>& busyConnections() const { return busy_; }
  std::uint32_t busy(const ServiceName& service, const DatabaseName& database, const BranchName& branch) const;
  /// The largest number of busy connections of the branch to a single database.
  std::uint32_t mostBusyOnOneDatabase(const ServiceName& service, const BranchName& branch) const;
  /// Idle and busy connections.
  std::uint32_t openConnections(const ServiceName& service, const DatabaseName& database) const;
  /// Busy connections of all branches.
  std::uint32_t load(const ServiceName& service, const DatabaseName& database) const;

 private:
  using Key = std::pair<ServiceName, DatabaseName>;
  /// The connections to one database.
  struct DatabasePool {
    std::list<std::shared_ptr<PooledConnection>> idle;
    /// Busy connections and those being opened.
    std::map<BranchName, std::uint32_t> busy;
    std::uint32_t opening = 0;
    /// No connection is opened before this time; `openPause` is 0 after a success.
    Instant openAfter{};
    Duration openPause{};
    std::uint32_t total() const;
  };
  void closeConnection(const std::shared_ptr<PooledConnection>& connection);
  static std::uint32_t connectionLimit(const ServiceDirectory::ServiceView& view);
  static std::uint32_t connectionLimit(const ServiceDirectory::ServiceView& view, const BranchName& branch);
  /// Connections to one database that may be opened at the same time; after a failure it is one.
  static constexpr std::uint32_t maxOpening = 4;
  static constexpr Duration minOpenPause = 100ms;
  static constexpr Duration maxOpenPause = 1s;

  Clock& clock_;
  WebLink& link_;
  Journal& journal_;
  std::map<Key, DatabasePool> pools_;
  std::set<std::shared_ptr<PooledConnection>> busy_;
};

}  // namespace tamarindshift

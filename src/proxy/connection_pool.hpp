#pragma once

#include <list>

#include "base/journal.hpp"
#include "proxy/service_directory.hpp"
#include "proxy/pooled_connection.hpp"

namespace tamarindshift {

class ConnectionPool {
 public:
  ConnectionPool(Clock& clock, WebLink& link, Journal& journal);

  std::shared_ptr<PooledConnection> takeIdle(const ServiceName& service, const DatabaseName& database, const BranchName& branch);
  bool mayHold(const ServiceDirectory::ServiceView& view, const ServiceName& service, const DatabaseName& database,
               const BranchName& branch) const;
  bool mayOpen(const ServiceDirectory::ServiceView& view, const ServiceName& service, const DatabaseName& database);
  Task<std::shared_ptr<PooledConnection>> open(ServiceName service, DatabaseName database, BranchName branch, Address address,
                                               Instant deadline);
  void release(const std::shared_ptr<PooledConnection>& connection);
  void drop(const std::shared_ptr<PooledConnection>& connection);
  void closeAll(const ServiceName& service);
  void closeBusyBefore(const ServiceName& service, Epoch epoch);
  void closeAllBesides(const std::map<ServiceName, ServiceDirectory::ServiceView>& services);
  void trim(const ServiceName& service, const ServiceDirectory::ServiceView& view);
  std::vector<std::shared_ptr<PooledConnection>> surplus(const ServiceName& service, const ServiceDirectory::ServiceView& view) const;
  bool within(const ServiceName& service, const ServiceDirectory::ServiceView& view) const;
  bool rebook(const std::shared_ptr<PooledConnection>& connection, const ServiceDirectory::ServiceView& view, const BranchName& branch);
  const std::set<std::shared_ptr<PooledConnection>>& busyConnections() const { return busy_; }
  std::uint32_t busy(const ServiceName& service, const DatabaseName& database, const BranchName& branch) const;
  std::uint32_t mostBusyOnOneDatabase(const ServiceName& service, const BranchName& branch) const;
  std::uint32_t openConnections(const ServiceName& service, const DatabaseName& database) const;
  std::uint32_t load(const ServiceName& service, const DatabaseName& database) const;

 private:
  using Key = std::pair<ServiceName, DatabaseName>;
  struct Shelf {
    std::list<std::shared_ptr<PooledConnection>> idle;
    std::map<BranchName, std::uint32_t> busy;
    std::uint32_t opening = 0;
    Instant openAfter{};
    Duration openPause{};
    std::uint32_t total() const;
  };
  void shut(const std::shared_ptr<PooledConnection>& connection);
  static std::uint32_t allowed(const ServiceDirectory::ServiceView& view);
  static std::uint32_t allowed(const ServiceDirectory::ServiceView& view, const BranchName& branch);
  static constexpr std::uint32_t mostOpening = 4;
  static constexpr Duration leastOpenPause = 100ms;
  static constexpr Duration mostOpenPause = 1s;

  Clock& clock_;
  WebLink& link_;
  Journal& journal_;
  std::map<Key, Shelf> shelves_;
  std::set<std::shared_ptr<PooledConnection>> busy_;
};

}  // namespace tamarindshift

#include "proxy/connection_pool.hpp"

#include <algorithm>

namespace tamarindshift {

ConnectionPool::ConnectionPool(Clock& clock, WebLink& link, Journal& journal) : clock_(clock), link_(link), journal_(journal) {}

std::uint32_t ConnectionPool::DatabasePool::total() const {
  std::uint32_t sum = static_cast<std::uint32_t>(idle.size());
  for (const auto& [branch, amount] : busy) sum += amount;
  return sum;
}

void ConnectionPool::closeConnection(const std::shared_ptr<PooledConnection>& connection) {
  connection->link.reset();
  journal_.count("pool.closed");
}

std::uint32_t ConnectionPool::connectionLimit(const ServiceDirectory::ServiceView& view) {
  std::uint32_t sum = 0;
  for (const auto& [branch, most] : view.share.connections) sum += most;
  return sum;
}

std::uint32_t ConnectionPool::connectionLimit(const ServiceDirectory::ServiceView& view, const BranchName& branch) {
  auto found = view.share.connections.find(branch);
  return found == view.share.connections.end() ? 0 : found->second;
}

std::uint32_t ConnectionPool::busy(const ServiceName& service, const DatabaseName& database, const BranchName& branch) const {
  auto pool = pools_.find({service, database});
  if (pool == pools_.end()) return 0;
  auto found = pool->second.busy.find(branch);
  return found == pool->second.busy.end() ? 0 : found->second;
}

std::uint32_t ConnectionPool::mostBusyOnOneDatabase(const ServiceName& service, const BranchName& branch) const {
  std::uint32_t most = 0;
  for (const auto& [key, pool] : pools_)
    if (key.first == service) most = std::max(most, busy(service, key.second, branch));
  return most;
}

std::uint32_t ConnectionPool::openConnections(const ServiceName& service, const DatabaseName& database) const {
  auto pool = pools_.find({service, database});
  return pool == pools_.end() ? 0 : pool->second.total();
}

std::uint32_t ConnectionPool::load(const ServiceName& service, const DatabaseName& database) const {
  auto pool = pools_.find({service, database});
  return pool == pools_.end() ? 0 : pool->second.total() - static_cast<std::uint32_t>(pool->second.idle.size());
}

bool ConnectionPool::belowBranchLimit(const ServiceDirectory::ServiceView& view, const ServiceName& service, const DatabaseName& database,
                                      const BranchName& branch) const {
  return busy(service, database, branch) < connectionLimit(view, branch);
}

std::shared_ptr<PooledConnection> ConnectionPool::takeIdle(const ServiceName& service, const DatabaseName& database,
                                                           const BranchName& branch) {
  auto& pool = pools_[{service, database}];
  while (!pool.idle.empty()) {
    auto connection = pool.idle.back();
    pool.idle.pop_back();
    if (connection->dropped || !connection->link->usable()) {
      journal_.count("pool.stale");
      closeConnection(connection);
      continue;
    }
    connection->branch = branch;
    connection->mismatchSince.reset();
    ++pool.busy[branch];
    busy_.insert(connection);
    return connection;
  }
  return nullptr;
}

bool ConnectionPool::mayOpen(const ServiceDirectory::ServiceView& view, const ServiceName& service, const DatabaseName& database) {
  auto& pool = pools_[{service, database}];
  auto most = pool.openPause > Duration::zero() ? 1 : maxOpening;
  return pool.total() < connectionLimit(view) && pool.opening < most && clock_.now() >= pool.openAfter;
}

Task<std::shared_ptr<PooledConnection>> ConnectionPool::open(ServiceName service, DatabaseName database, BranchName branch, Address address,
                                                             Instant deadline) {
  auto& pool = pools_[{service, database}];
  ++pool.opening;
  ++pool.busy[branch];
  journal_.count("pool.opens");
  auto web = co_await link_.open(address, deadline);
  --pool.opening;
  if (!web) {
    --pool.busy[branch];
    pool.openPause = std::clamp(2 * pool.openPause, minOpenPause, maxOpenPause);
    pool.openAfter = clock_.now() + pool.openPause;
    journal_.count("pool.opens_failed");
    co_return nullptr;
  }
  pool.openPause = Duration::zero();
  auto connection = std::make_shared<PooledConnection>();
  connection->service = std::move(service);
  connection->database = std::move(database);
  connection->address = std::move(address);
  connection->branch = std::move(branch);
  connection->link = std::make_unique<DatabaseConnection>(std::move(web));
  busy_.insert(connection);
  co_return connection;
}

void ConnectionPool::release(const std::shared_ptr<PooledConnection>& connection) {
  if (connection->dropped || !connection->link || !connection->link->usable()) return drop(connection);
  auto& pool = pools_[{connection->service, connection->database}];
  --pool.busy[connection->branch];
  busy_.erase(connection);
  pool.idle.push_back(connection);
}

void ConnectionPool::drop(const std::shared_ptr<PooledConnection>& connection) {
  if (!connection->link) return;
  connection->dropped = true;
  if (connection->running) return connection->link->close();
  busy_.erase(connection);
  --pools_[{connection->service, connection->database}].busy[connection->branch];
  closeConnection(connection);
}

void ConnectionPool::closeAll(const ServiceName& service) {
  for (auto& [key, pool] : pools_)
    if (key.first == service) {
      for (const auto& connection : pool.idle) closeConnection(connection);
      pool.idle.clear();
    }
  auto busy = busy_;
  for (const auto& connection : busy)
    if (connection->service == service && !connection->dropped) drop(connection);
}

void ConnectionPool::closeBusyOfOlderEpochs(const ServiceName& service, Epoch epoch) {
  auto busy = busy_;
  for (const auto& connection : busy)
    if (connection->service == service && connection->running && connection->epoch < epoch && !connection->dropped) drop(connection);
}

void ConnectionPool::closeAllExcept(const std::map<ServiceName, ServiceDirectory::ServiceView>& services) {
  std::set<ServiceName> removed;
  for (const auto& [key, pool] : pools_)
    if (!services.contains(key.first)) removed.insert(key.first);
  for (const auto& service : removed) closeAll(service);
}

void ConnectionPool::trim(const ServiceName& service, const ServiceDirectory::ServiceView& view) {
  auto most = connectionLimit(view);
  for (auto& [key, pool] : pools_) {
    if (key.first != service) continue;
    const PublishedDatabase* planned = nullptr;
    if (!view.drained.contains(key.second))
      if (auto found = view.databases.find(key.second); found != view.databases.end()) planned = &found->second;
    std::erase_if(pool.idle, [&](const auto& connection) {
      bool outdated = !planned || connection->address != planned->address;
      if (outdated) closeConnection(connection);
      return outdated;
    });
    while (!pool.idle.empty() && pool.total() > most) {
      closeConnection(pool.idle.front());
      pool.idle.pop_front();
    }
  }
}

std::vector<std::shared_ptr<PooledConnection>> ConnectionPool::surplus(const ServiceName& service,
                                                                       const ServiceDirectory::ServiceView& view) const {
  std::vector<std::shared_ptr<PooledConnection>> surplus;
  std::map<std::pair<DatabaseName, BranchName>, std::uint32_t> seen;
  for (bool running : {true, false})
    for (const auto& connection : busy_)
      if (connection->service == service && connection->running == running && !connection->dropped &&
          ++seen[{connection->database, connection->branch}] > connectionLimit(view, connection->branch))
        surplus.push_back(connection);
  return surplus;
}

bool ConnectionPool::within(const ServiceName& service, const ServiceDirectory::ServiceView& view) const {
  for (const auto& [key, pool] : pools_) {
    if (key.first != service) continue;
    if (pool.total() > connectionLimit(view)) return false;
    for (const auto& [branch, busy] : pool.busy)
      if (busy > connectionLimit(view, branch)) return false;
  }
  return true;
}

bool ConnectionPool::moveToBranch(const std::shared_ptr<PooledConnection>& connection, const ServiceDirectory::ServiceView& view,
                                  const BranchName& branch) {
  if (!belowBranchLimit(view, connection->service, connection->database, branch)) return false;
  auto& pool = pools_[{connection->service, connection->database}];
  --pool.busy[connection->branch];
  ++pool.busy[branch];
  connection->branch = branch;
  return true;
}

}  // namespace tamarindshift

#include "pool/connection_pool.hpp"

#include <algorithm>

namespace tamarindshift {

ConnectionPool::ConnectionPool(Clock& clock, WebLink& link, Journal& journal) : clock_(clock), link_(link), journal_(journal) {}

std::uint32_t ConnectionPool::Shelf::total() const {
  std::uint32_t sum = static_cast<std::uint32_t>(idle.size());
  for (const auto& [branch, amount] : busy) sum += amount;
  return sum;
}

std::uint32_t ConnectionPool::allowed(const Guide::ServiceView& view) {
  std::uint32_t sum = 0;
  for (const auto& [branch, most] : view.share.most) sum += most;
  return sum;
}

std::uint32_t ConnectionPool::allowed(const Guide::ServiceView& view, const BranchName& branch) {
  auto found = view.share.most.find(branch);
  return found == view.share.most.end() ? 0 : found->second;
}

std::uint32_t ConnectionPool::busy(const ServiceName& service, const DatabaseName& database, const BranchName& branch) const {
  auto shelf = shelves_.find({service, database});
  if (shelf == shelves_.end()) return 0;
  auto found = shelf->second.busy.find(branch);
  return found == shelf->second.busy.end() ? 0 : found->second;
}

std::uint32_t ConnectionPool::busiest(const ServiceName& service, const BranchName& branch) const {
  std::uint32_t most = 0;
  for (const auto& [key, shelf] : shelves_)
    if (key.first == service) most = std::max(most, busy(service, key.second, branch));
  return most;
}

std::uint32_t ConnectionPool::openConnections(const ServiceName& service, const DatabaseName& database) const {
  auto shelf = shelves_.find({service, database});
  return shelf == shelves_.end() ? 0 : shelf->second.total();
}

std::uint32_t ConnectionPool::load(const ServiceName& service, const DatabaseName& database) const {
  auto shelf = shelves_.find({service, database});
  return shelf == shelves_.end() ? 0 : shelf->second.total() - static_cast<std::uint32_t>(shelf->second.idle.size());
}

bool ConnectionPool::mayHold(const Guide::ServiceView& view, const ServiceName& service, const DatabaseName& database, const BranchName& branch) const {
  return busy(service, database, branch) < allowed(view, branch);
}

std::shared_ptr<PooledConnection> ConnectionPool::takeIdle(const ServiceName& service, const DatabaseName& database, const BranchName& branch) {
  auto& shelf = shelves_[{service, database}];
  while (!shelf.idle.empty()) {
    auto connection = shelf.idle.back();
    shelf.idle.pop_back();
    if (connection->doomed || !connection->link->usable()) {
      journal_.count("pool.closed_stale");
      continue;
    }
    connection->branch = branch;
    ++shelf.busy[branch];
    busy_.insert(connection);
    return connection;
  }
  return nullptr;
}

bool ConnectionPool::mayOpen(const Guide::ServiceView& view, const ServiceName& service, const DatabaseName& database) {
  auto& shelf = shelves_[{service, database}];
  auto most = shelf.openPause > Duration::zero() ? 1 : mostOpening;
  return shelf.total() < allowed(view) && shelf.opening < most && clock_.now() >= shelf.openAfter;
}

Task<std::shared_ptr<PooledConnection>> ConnectionPool::open(ServiceName service, DatabaseName database, BranchName branch, Address address, Instant deadline) {
  auto& shelf = shelves_[{service, database}];
  ++shelf.opening;
  ++shelf.busy[branch];
  journal_.count("pool.opens");
  auto web = co_await link_.open(std::move(address), deadline);
  --shelf.opening;
  if (!web) {
    --shelf.busy[branch];
    shelf.openPause = std::clamp(2 * shelf.openPause, leastOpenPause, mostOpenPause);
    shelf.openAfter = clock_.now() + shelf.openPause;
    journal_.count("pool.opens_failed");
    co_return nullptr;
  }
  shelf.openPause = Duration::zero();
  auto connection = std::make_shared<PooledConnection>();
  connection->service = std::move(service);
  connection->database = std::move(database);
  connection->branch = std::move(branch);
  connection->link = std::make_unique<DatabaseConnection>(std::move(web));
  busy_.insert(connection);
  co_return connection;
}

void ConnectionPool::release(const std::shared_ptr<PooledConnection>& connection) {
  if (connection->doomed || !connection->link || !connection->link->usable()) return drop(connection);
  auto& shelf = shelves_[{connection->service, connection->database}];
  --shelf.busy[connection->branch];
  busy_.erase(connection);
  shelf.idle.push_back(connection);
}

void ConnectionPool::drop(const std::shared_ptr<PooledConnection>& connection) {
  if (!connection->link) return;
  connection->doomed = true;
  if (connection->running) return connection->link->close();
  connection->link.reset();
  busy_.erase(connection);
  --shelves_[{connection->service, connection->database}].busy[connection->branch];
  journal_.count("pool.closed");
}

void ConnectionPool::closeAll(const ServiceName& service) {
  for (auto& [key, shelf] : shelves_)
    if (key.first == service) {
      journal_.count("pool.closed", shelf.idle.size());
      shelf.idle.clear();
    }
  auto busy = busy_;
  for (const auto& connection : busy)
    if (connection->service == service && !connection->doomed) drop(connection);
}

void ConnectionPool::closeBusyBefore(const ServiceName& service, Epoch epoch) {
  auto busy = busy_;
  for (const auto& connection : busy)
    if (connection->service == service && connection->running && connection->epoch < epoch && !connection->doomed) drop(connection);
}

void ConnectionPool::closeAllBesides(const std::map<ServiceName, Guide::ServiceView>& services) {
  std::set<ServiceName> gone;
  for (const auto& [key, shelf] : shelves_)
    if (!services.contains(key.first)) gone.insert(key.first);
  for (const auto& service : gone) closeAll(service);
}

void ConnectionPool::trim(const ServiceName& service, const Guide::ServiceView& view) {
  auto most = allowed(view);
  for (auto& [key, shelf] : shelves_) {
    if (key.first != service) continue;
    bool gone = !view.plan || !view.plan->service.databases.contains(key.second) || view.drained.contains(key.second);
    while (!shelf.idle.empty() && (gone || shelf.total() > most)) {
      shelf.idle.pop_front();
      journal_.count("pool.closed");
    }
  }
}

bool ConnectionPool::within(const ServiceName& service, const Guide::ServiceView& view) const {
  auto most = allowed(view);
  for (const auto& [key, shelf] : shelves_)
    if (key.first == service && shelf.total() > most) return false;
  return true;
}

}  // namespace tamarindshift

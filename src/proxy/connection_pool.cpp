#include "proxy/connection_pool.hpp"

#include <algorithm>

namespace tamarindshift {

ConnectionPool::ConnectionPool(Clock& clock, WebLink& link, Journal& journal) : clock_(clock), link_(link), journal_(journal) {}

std::uint32_t ConnectionPool::Shelf::total() const {
  std::uint32_t sum = static_cast<std::uint32_t>(idle.size());
  for (const auto& [branch, amount] : busy) sum += amount;
  return sum;
}

void ConnectionPool::shut(const std::shared_ptr<PooledConnection>& connection) {
  connection->link.reset();
  journal_.count("pool.closed");
}

std::uint32_t ConnectionPool::allowed(const ServiceDirectory::ServiceView& view) {
  std::uint32_t sum = 0;
  for (const auto& [branch, most] : view.share.connections) sum += most;
  return sum;
}

std::uint32_t ConnectionPool::allowed(const ServiceDirectory::ServiceView& view, const BranchName& branch) {
  auto found = view.share.connections.find(branch);
  return found == view.share.connections.end() ? 0 : found->second;
}

std::uint32_t ConnectionPool::busy(const ServiceName& service, const DatabaseName& database, const BranchName& branch) const {
  auto shelf = shelves_.find({service, database});
  if (shelf == shelves_.end()) return 0;
  auto found = shelf->second.busy.find(branch);
  return found == shelf->second.busy.end() ? 0 : found->second;
}

std::uint32_t ConnectionPool::mostBusyOnOneDatabase(const ServiceName& service, const BranchName& branch) const {
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

bool ConnectionPool::mayHold(const ServiceDirectory::ServiceView& view, const ServiceName& service, const DatabaseName& database,
                             const BranchName& branch) const {
  return busy(service, database, branch) < allowed(view, branch);
}

std::shared_ptr<PooledConnection> ConnectionPool::takeIdle(const ServiceName& service, const DatabaseName& database,
                                                           const BranchName& branch) {
  auto& shelf = shelves_[{service, database}];
  while (!shelf.idle.empty()) {
    auto connection = shelf.idle.back();
    shelf.idle.pop_back();
    if (connection->doomed || !connection->link->usable()) {
      journal_.count("pool.stale");
      shut(connection);
      continue;
    }
    connection->branch = branch;
    connection->misfitSince.reset();
    ++shelf.busy[branch];
    busy_.insert(connection);
    return connection;
  }
  return nullptr;
}

bool ConnectionPool::mayOpen(const ServiceDirectory::ServiceView& view, const ServiceName& service, const DatabaseName& database) {
  auto& shelf = shelves_[{service, database}];
  auto most = shelf.openPause > Duration::zero() ? 1 : mostOpening;
  return shelf.total() < allowed(view) && shelf.opening < most && clock_.now() >= shelf.openAfter;
}

Task<std::shared_ptr<PooledConnection>> ConnectionPool::open(ServiceName service, DatabaseName database, BranchName branch, Address address,
                                                             Instant deadline) {
  auto& shelf = shelves_[{service, database}];
  ++shelf.opening;
  ++shelf.busy[branch];
  journal_.count("pool.opens");
  auto web = co_await link_.open(address, deadline);
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
  connection->address = std::move(address);
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
  busy_.erase(connection);
  --shelves_[{connection->service, connection->database}].busy[connection->branch];
  shut(connection);
}

void ConnectionPool::closeAll(const ServiceName& service) {
  for (auto& [key, shelf] : shelves_)
    if (key.first == service) {
      for (const auto& connection : shelf.idle) shut(connection);
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

void ConnectionPool::closeAllBesides(const std::map<ServiceName, ServiceDirectory::ServiceView>& services) {
  std::set<ServiceName> gone;
  for (const auto& [key, shelf] : shelves_)
    if (!services.contains(key.first)) gone.insert(key.first);
  for (const auto& service : gone) closeAll(service);
}

void ConnectionPool::trim(const ServiceName& service, const ServiceDirectory::ServiceView& view) {
  auto most = allowed(view);
  for (auto& [key, shelf] : shelves_) {
    if (key.first != service) continue;
    const PublishedDatabase* planned = nullptr;
    if (!view.drained.contains(key.second))
      if (auto found = view.databases.find(key.second); found != view.databases.end()) planned = &found->second;
    std::erase_if(shelf.idle, [&](const auto& connection) {
      bool gone = !planned || connection->address != planned->address;
      if (gone) shut(connection);
      return gone;
    });
    while (!shelf.idle.empty() && shelf.total() > most) {
      shut(shelf.idle.front());
      shelf.idle.pop_front();
    }
  }
}

std::vector<std::shared_ptr<PooledConnection>> ConnectionPool::surplus(const ServiceName& service,
                                                                       const ServiceDirectory::ServiceView& view) const {
  std::vector<std::shared_ptr<PooledConnection>> surplus;
  std::map<std::pair<DatabaseName, BranchName>, std::uint32_t> seen;
  for (bool running : {true, false})
    for (const auto& connection : busy_)
      if (connection->service == service && connection->running == running && !connection->doomed &&
          ++seen[{connection->database, connection->branch}] > allowed(view, connection->branch))
        surplus.push_back(connection);
  return surplus;
}

bool ConnectionPool::within(const ServiceName& service, const ServiceDirectory::ServiceView& view) const {
  for (const auto& [key, shelf] : shelves_) {
    if (key.first != service) continue;
    if (shelf.total() > allowed(view)) return false;
    for (const auto& [branch, busy] : shelf.busy)
      if (busy > allowed(view, branch)) return false;
  }
  return true;
}

bool ConnectionPool::rebook(const std::shared_ptr<PooledConnection>& connection, const ServiceDirectory::ServiceView& view,
                            const BranchName& branch) {
  if (!mayHold(view, connection->service, connection->database, branch)) return false;
  auto& shelf = shelves_[{connection->service, connection->database}];
  --shelf.busy[connection->branch];
  ++shelf.busy[branch];
  connection->branch = branch;
  return true;
}

}  // namespace tamarindshift

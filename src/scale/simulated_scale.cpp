#include "scale/simulated_scale.hpp"

#include <algorithm>

namespace tamarindshift {

SimulatedScale::SimulatedScale(ScaleShape shape, std::uint64_t seed, Duration betweenRegions)
    : addresses_{"10.1", shape},
      betweenRegions_(betweenRegions),
      world_(seed),
      network_(world_),
      web_(network_),
      clock_(world_),
      journal_("scale", [](const std::string&) {}),
      outside_(web_, clock_, Address{"10.9.0.1:1"}),
      databaseControl_(outside_, addresses_.platform()) {
  for (std::size_t index = 0; index < shape.replicas; ++index) regions_[addresses_.replica(index)] = regionOf(index);
  for (std::size_t index = 0; index < shape.nodes; ++index)
    regions_[addresses_.agent(index)] = regions_[addresses_.proxy(index)] = regionOf(index);
  platform_ = std::make_unique<StandinPlatform>(clock_, outside_, journal_);
  web_.attach(addresses_.platform(), *platform_, clock_);
  for (std::size_t index = 0; index < shape.replicas; ++index) {
    replicas_.push_back(std::make_unique<Replica>());
    auto& own = *replicas_.back();
    own.link = link(addresses_.replica(index));
    own.metered = std::make_unique<MeteredLink>(*own.link, own.traffic, [this](const Address& peer) {
      return addresses_.isReplica(peer) ? "replica" : "agent";
    });
    own.store = std::make_unique<SimulatedStore>(clock_, own.disk, 3ms);
    ReplicaSettings settings;
    settings.address = addresses_.replica(index);
    settings.zone = shape.zone(index);
    settings.seeds = addresses_.seeds();
    own.node = std::make_unique<ReplicaNode>(clock_, *own.metered, *own.store, databaseControl_, journal_, settings, world_.incarnation());
    if (own.node->start()) continue;
    own.door = std::make_unique<OperatorApi>(*own.node, clock_);
    web_.attach(addresses_.replicaDoor(index), *own.door, clock_);
  }
  for (const auto& settings : addresses_.databases()) {
    if (settings.primary) platform_->setPrimary(settings.service, settings.address);
    auto& database = databases_[settings.address];
    database = std::make_unique<StandinDatabase>(clock_, outside_, journal_, settings, world_.incarnation());
    web_.attach(settings.address, *database, clock_);
  }
  for (std::size_t index = 0; index < shape.nodes; ++index) {
    HollowNodeSettings settings{
        addresses_.agent(index), addresses_.proxy(index), shape.zone(index), addresses_.seeds(), Timings{}, [this](const Address& address) {
          return addresses_.isReplica(address);
        }};
    links_.push_back(link(settings.agent));
    links_.push_back(link(settings.proxy));
    nodes_.push_back(std::make_unique<HollowNode>(clock_, journal_, *links_[2 * index], *links_[2 * index + 1], outside_, settings,
                                                  world_.incarnation()));
    web_.attach(addresses_.agentDoor(index), nodes_.back()->agent(), clock_);
  }
}

SimulatedScale::~SimulatedScale() {
  scope_.clear();
  for (std::size_t index = 0; index < nodes_.size(); ++index) web_.detach(addresses_.agentDoor(index));
  nodes_.clear();
  for (const auto& [address, database] : databases_) web_.detach(address);
  databases_.clear();
  for (std::size_t index = 0; index < replicas_.size(); ++index) killReplica(index);
  web_.detach(addresses_.platform());
}

std::size_t SimulatedScale::regionOf(const Address& address) const {
  auto found = regions_.find(address);
  return found == regions_.end() ? 0 : found->second;
}

Duration SimulatedScale::way(const Address& from, const Address& to) const {
  return regionOf(from) == regionOf(to) ? Duration::zero() : betweenRegions_;
}

std::unique_ptr<SimulatedLink> SimulatedScale::link(const Address& own) {
  return std::make_unique<DistantLink>(network_, clock_, own, [this, own](const Address& peer) {
    return way(own, peer);
  });
}

bool SimulatedScale::runUntil(const std::function<bool()>& reached, Duration patience) {
  auto until = world_.now() + patience;
  while (!reached() && world_.now() < until) run(5ms);
  return reached();
}

Task<void> SimulatedScale::send(std::string text) {
  for (std::size_t index = 0; index < replicas_.size(); ++index) {
    if (!replicas_[index]->node) continue;
    auto outcome = co_await outside_.call(addresses_.replicaDoor(index), "PUT", "/plan", text, clock_.now() + 8s);
    lastStatus_ = outcome ? outcome->status : 0;
    if (lastStatus_ == 200) co_return;
  }
}

bool SimulatedScale::sendPlan(std::uint64_t mark) {
  lastStatus_ = -1;
  scope_.spawn(send(scalePlan(addresses_, mark)));
  return runUntil(
      [this] {
        return lastStatus_ == 200;
      },
      10s);
}

bool SimulatedScale::start() {
  if (!runUntil(
          [this] {
            return orders();
          },
          20s) ||
      !sendPlan(1))
    return false;
  auto settled = [this] {
    for (const auto& database : databases_)
      if (database.second->settings().primary && database.second->standing().epoch == Epoch{}) return false;
    return leased() == nodes_.size();
  };
  if (!runUntil(settled, 60s)) return false;
  run(5s);
  return true;
}

Traffic SimulatedScale::nodeTraffic() const {
  Traffic all;
  for (const auto& node : nodes_) all += node->traffic();
  return all;
}

Traffic SimulatedScale::replicaTraffic() const {
  Traffic all;
  for (const auto& replica : replicas_) all += replica->traffic;
  return all;
}

std::size_t SimulatedScale::leased() const {
  return static_cast<std::size_t>(std::count_if(nodes_.begin(), nodes_.end(), [](const auto& node) {
    return node->leased();
  }));
}

std::size_t SimulatedScale::leased(std::size_t region) const {
  std::size_t count = 0;
  for (std::size_t index = 0; index < nodes_.size(); ++index) count += regionOf(index) == region && nodes_[index]->leased();
  return count;
}

std::optional<std::size_t> SimulatedScale::onDuty() const {
  for (std::size_t index = 0; index < replicas_.size(); ++index) {
    const auto* node = replicas_[index]->node.get();
    auto proved = node && node->duties().onDuty() ? node->engine().primaryConfirmedAt() : std::nullopt;
    if (proved && world_.now() - *proved < 400ms) return index;
  }
  return std::nullopt;
}

bool SimulatedScale::orders() const {
  return onDuty().has_value();
}

void SimulatedScale::killReplica(std::size_t index) {
  auto& own = *replicas_[index];
  if (!own.node) return;
  web_.detach(addresses_.replicaDoor(index));
  own.door.reset();
  own.node.reset();
  own.metered.reset();
  own.store.reset();
  own.link.reset();
}

void SimulatedScale::crashDatabase(std::size_t service, std::size_t number) {
  auto address = addresses_.database(service, number);
  web_.detach(address);
  databases_.erase(address);
}

std::vector<std::string> SimulatedScale::hostsOf(std::size_t region) const {
  std::vector<std::string> hosts;
  for (const auto& [address, own] : regions_)
    if (own == region) hosts.push_back(SimulatedNetwork::host(address));
  return hosts;
}

void SimulatedScale::cutRegions(std::size_t left, std::size_t right, bool cut) {
  for (const auto& near : hostsOf(left))
    for (const auto& far : hostsOf(right))
      for (const auto& [from, to] : {std::pair(near, far), std::pair(far, near)}) cut ? network_.cut(from, to) : network_.heal(from, to);
}

}  // namespace tamarindshift

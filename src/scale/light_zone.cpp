#include "scale/light_zone.hpp"

#include <algorithm>

#include "control/heartbeat_json.hpp"
#include "control/plan_entries.hpp"
#include "edge/door_replies.hpp"
#include "real/program.hpp"

namespace tamarindshift {

LightZone::Node::Node(LightZone& zone, boost::asio::io_context& context, std::size_t index, bool follows)
    : zone(zone),
      index(index),
      address(zone.addresses_.agent(index)),
      link(context, zone.clock_, zone.journal_, address, {}),
      metered(link, traffic,
              [&zone](const Address& peer) {
                return zone.addresses_.isReplica(peer) ? "replica" : "agent";
              }),
      desk(zone.clock_, metered, freshEntropy()) {
  for (std::size_t replica = 0; replica < zone.addresses_.shape.replicas; ++replica) replicas.push_back(zone.addresses_.replica(replica));
  std::rotate(replicas.begin(), replicas.begin() + static_cast<std::ptrdiff_t>(ZoneRelays::hash(address.get()) % replicas.size()),
              replicas.end());
  desk.serve("report-whole", [this](Address from, std::string) -> Task<std::optional<std::string>> {
    book.sendWholeNext(from);
    if (book.last().boot != 0) tell(from);
    co_return std::nullopt;
  });
  if (!follows) return;
  follower = std::make_unique<UpdateFollower>(
      zone.clock_, desk, zone.journal_,
      [this](const Topic& topic) {
        return sources(topic);
      },
      FollowTimings{zone.timings_.newsPatience});
}

std::vector<Address> LightZone::Node::sources(const Topic& topic) const {
  auto sources = zone.homes_.relaysFor(topic, address);
  sources.insert(sources.end(), replicas.begin(), replicas.end());
  return sources;
}

void LightZone::Node::tellAll(const std::string& subject, const std::string& bytes) {
  for (const auto& replica : replicas) desk.tell(replica, subject, bytes);
}

Task<DoorReply> LightZone::Node::serve(DoorRequest request) {
  auto heartbeat = heartbeatFromJson(request.body);
  if (!heartbeat) co_return refusal(400, "not a heartbeat");
  tellAll("heartbeat", packed(*heartbeat));
  co_return DoorReply{200, "{}", std::nullopt};
}

Task<void> LightZone::Node::report() {
  auto boot = freshEntropy();
  std::uint64_t told = 0;
  Instant toldAt{};
  co_await sleep(zone.clock_, zone.timings_.report * static_cast<Duration::rep>(index * 997 % 500) / 500);
  for (;;) {
    if (told != zone.changesOfServices_ || zone.clock_.now() - toldAt >= zone.timings_.report) {
      NodeReport report;
      report.node = address;
      report.zone = zone.addresses_.shape.zone(index);
      report.boot = boot;
      report.mark = zone.planMark(fleetTopic);
      report.services = zone.services_;
      for (const auto& [service, own] : report.services)
        if (auto until = zone.shared_->leaseUntil(service.get())) report.lease = std::max(report.lease, *until - zone.clock_.now());
      book.record(std::move(report));
      for (const auto& replica : replicas) tell(replica);
      told = zone.changesOfServices_;
      toldAt = zone.clock_.now();
    }
    co_await sleep(zone.clock_, zone.timings_.reportPause);
  }
}

LightZone::LightZone(boost::asio::io_context& context, Clock& clock, Journal& journal, const ScaleAddresses& addresses, std::size_t zone,
                     std::size_t real)
    : clock_(clock), journal_(journal), addresses_(addresses), zone_(zone) {
  std::vector<Address> agents;
  std::vector<std::size_t> light;
  for (std::size_t index = zone; index < addresses_.shape.nodes; index += addresses_.shape.zones) {
    agents.push_back(addresses_.agent(index));
    if (index >= real) light.push_back(index);
  }
  std::sort(agents.begin(), agents.end());
  homes_ = ZoneRelays{agents};
  bool allFollow = false;
  for (auto index = zone; index < real; index += addresses_.shape.zones) allFollow = allFollow || homes_.isRelay(addresses_.agent(index));
  for (auto index : light)
    nodes_.push_back(std::make_unique<Node>(*this, context, index, allFollow || homes_.isRelay(addresses_.agent(index))));
  for (const auto& node : nodes_)
    if (!shared_) shared_ = node->follower.get();
  for (auto& node : nodes_) {
    auto& feed = node->follower ? *node->follower : *shared_;
    node->news = std::make_unique<UpdateServer>(clock_, node->desk, feed.updates(), feed, timings_.newsWait);
  }
}

std::optional<std::string> LightZone::listen() {
  for (auto& node : nodes_) {
    if (auto fault = node->link.listen()) return fault;
    scope_.spawn(node->report());
  }
  if (shared_) scope_.spawn(keepServices());
  return std::nullopt;
}

std::map<ServiceName, ServiceReport> LightZone::services() const {
  std::map<ServiceName, ServiceReport> services;
  for (const auto& [topic, followed] : shared_->topics()) {
    if (topic == fleetTopic) continue;
    const auto* entry = shared_->updates().find(topic);
    auto plan = entry ? readServicePlan(entry->table) : std::nullopt;
    if (!plan) continue;
    auto& own = services[ServiceName{topic}];
    own.appliedPosition = shared_->updates().mark(topic);
    own.epoch = news<PublishedPrimary>(topic, "primary").value_or(PublishedPrimary{}).epoch;
    for (const auto& [branch, planned] : plan->service.branches) own.connectionDemand[branch] = 1;
  }
  return services;
}

Task<void> LightZone::keepServices() {
  for (;;) {
    services_ = services();
    if (auto told = packed(services_); std::exchange(toldServices_, told) != told) ++changesOfServices_;
    co_await shared_->changed().wait(clock_, clock_.now() + timings_.report);
    co_await sleep(clock_, timings_.reportPause);
  }
}

template <class News>
std::optional<News> LightZone::news(const Topic& topic, const std::string& key) const {
  const auto* entry = shared_->updates().find(topic);
  if (!entry) return std::nullopt;
  auto found = entry->table.find(key);
  return found == entry->table.end() ? std::nullopt : unpacked<News>(found->second);
}

bool LightZone::leased() {
  if (!shared_) return false;
  const auto& topics = shared_->topics();
  return topics.size() > 1 && std::all_of(topics.begin(), topics.end(), [this](const auto& each) {
           return shared_->leaseUntil(each.first).has_value();
         });
}

bool LightZone::follows(PlanVersion mark) {
  if (!shared_) return false;
  const auto& topics = shared_->topics();
  return std::all_of(topics.begin(), topics.end(), [&](const auto& each) {
    return planMark(each.first) >= mark;
  });
}

PlanVersion LightZone::planMark(const Topic& topic) const {
  const auto* entry = shared_->updates().find(topic);
  return entry ? readPlanVersion(entry->table) : PlanVersion{};
}

bool LightZone::servedUnder(const ServiceName& service, Epoch epoch) {
  if (!shared_) return false;
  auto primary = news<PublishedPrimary>(service.get(), "primary");
  return primary && primary->promoted && primary->epoch >= epoch && shared_->leaseUntil(service.get());
}

Traffic LightZone::traffic() const {
  Traffic all;
  for (const auto& node : nodes_) all += node->traffic;
  return all;
}

std::vector<std::pair<Address, DoorKeeper*>> LightZone::doors() {
  std::vector<std::pair<Address, DoorKeeper*>> doors;
  for (auto& node : nodes_) doors.emplace_back(addresses_.agentDoor(node->index), node.get());
  return doors;
}

}  // namespace tamarindshift

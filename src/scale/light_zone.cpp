#include "scale/light_zone.hpp"

#include <algorithm>

#include "control/beat_json.hpp"
#include "control/service_news.hpp"
#include "edge/door_replies.hpp"
#include "real/program.hpp"

namespace tamarindshift {

namespace {

std::size_t spread(const std::string& text) {
  std::size_t sum = 0;
  for (unsigned char letter : text) sum = sum * 31 + letter;
  return sum;
}

}  // namespace

LightZone::Node::Node(LightZone& zone, boost::asio::io_context& context, std::size_t index)
    : zone(zone), index(index), address(zone.addresses_.agent(index)), link(context, zone.clock_, zone.journal_, address, {}),
      metered(link, traffic, [&zone](const Address& partner) { return zone.addresses_.isReplica(partner) ? "replica" : "agent"; }),
      desk(zone.clock_, metered), news(zone.clock_, desk, zone.board_, zone, zone.timings_.newsWait) {
  for (std::size_t replica = 0; replica < zone.addresses_.shape.replicas; ++replica) replicas.push_back(zone.addresses_.replica(replica));
  std::rotate(replicas.begin(), replicas.begin() + static_cast<std::ptrdiff_t>(spread(address.get()) % replicas.size()), replicas.end());
}

void LightZone::Node::tellAll(const std::string& subject, const std::string& bytes) {
  for (const auto& replica : replicas) desk.tell(replica, subject, bytes);
}

Task<DoorReply> LightZone::Node::serve(DoorRequest request) {
  auto beat = beatFromJson(request.body);
  if (!beat) co_return refusal(400, "not a beat");
  tellAll("beat", packed(*beat));
  co_return DoorReply{200, "{}", std::nullopt};
}

Task<void> LightZone::Node::report() {
  auto boot = freshEntropy();
  co_await sleep(zone.clock_, Duration{index * 997 % 200 * 1000});
  for (;;) {
    NodeReport report;
    report.node = address;
    report.district = zone.addresses_.shape.district(index);
    report.boot = boot;
    report.mark = zone.news<FleetPlanNews>(fleetTopic, "plan").value_or(FleetPlanNews{}).mark;
    for (const auto& topic : zone.topics_) {
      if (topic == fleetTopic) continue;
      auto plan = zone.news<ServiceNews>(topic, "plan");
      if (!plan) continue;
      auto& own = report.services[ServiceName{topic}];
      own.followed = zone.board_.mark(topic);
      own.epoch = zone.news<PrimaryNews>(topic, "primary").value_or(PrimaryNews{}).epoch;
      for (const auto& [branch, planned] : plan->service.branches) own.wanted[branch] = 1;
      if (auto until = zone.leaseUntil(topic)) report.lease = std::max(report.lease, *until - zone.clock_.now());
    }
    tellAll("report", packed(report));
    co_await sleep(zone.clock_, zone.timings_.report);
  }
}

LightZone::LightZone(boost::asio::io_context& context, Clock& clock, Journal& journal, const ScaleAddresses& addresses, std::size_t zone, std::size_t real)
    : clock_(clock), journal_(journal), addresses_(addresses), zone_(zone) {
  for (std::size_t index = zone; index < addresses_.shape.nodes; index += addresses_.shape.zones) {
    agents_.push_back(addresses_.agent(index));
    if (index >= real) nodes_.push_back(std::make_unique<Node>(*this, context, index));
  }
  std::sort(agents_.begin(), agents_.end());
}

std::optional<std::string> LightZone::listen() {
  for (auto& node : nodes_) {
    if (auto fault = node->link.listen()) return fault;
    scope_.spawn(node->report());
  }
  scope_.spawn(keepTopics());
  return std::nullopt;
}

Task<void> LightZone::keepTopics() {
  for (;;) {
    if (topics_.insert(fleetTopic).second) follow(fleetTopic);
    if (auto plan = news<FleetPlanNews>(fleetTopic, "plan"))
      for (const auto& [kind, service] : plan->kinds)
        if (topics_.insert(service.get()).second) follow(service.get());
    co_await sleep(clock_, 200ms);
  }
}

void LightZone::follow(const Topic& topic) {
  auto home = agents_[spread(topic) % agents_.size()];
  bool homeIsReal = std::none_of(nodes_.begin(), nodes_.end(), [&](const auto& node) { return node->address == home; });
  for (auto& node : nodes_) {
    if (!homeIsReal && node->address != home) continue;
    auto sources = node->replicas;
    if (homeIsReal) sources.insert(sources.begin(), home);
    node->followers[topic] = std::make_unique<Follower>(clock_, node->desk, board_, journal_, topic, [sources] { return sources; },
                                                        FollowTimings{timings_.newsPatience, 50ms});
  }
}

std::vector<Follower*> LightZone::followers(const Topic& topic) {
  std::vector<Follower*> found;
  for (auto& node : nodes_)
    if (auto own = node->followers.find(topic); own != node->followers.end()) found.push_back(own->second.get());
  return found;
}

std::optional<Instant> LightZone::leaseUntil(const Topic& topic) {
  std::optional<Instant> most;
  for (auto* follower : followers(topic)) most = std::max(most, follower->leaseUntil());
  return most;
}

std::vector<DatabaseSign> LightZone::signs(const Topic& topic) {
  auto found = followers(topic);
  return found.empty() ? std::vector<DatabaseSign>{} : found.front()->signs();
}

template <class News>
std::optional<News> LightZone::news(const Topic& topic, const std::string& key) const {
  const auto* entry = board_.find(topic);
  if (!entry) return std::nullopt;
  auto found = entry->table.find(key);
  return found == entry->table.end() ? std::nullopt : unpacked<News>(found->second);
}

bool LightZone::leased() {
  return topics_.size() > 1 && std::all_of(topics_.begin(), topics_.end(), [this](const auto& topic) { return leaseUntil(topic).has_value(); });
}

bool LightZone::follows(PlanMark mark) {
  return std::all_of(topics_.begin(), topics_.end(), [&](const auto& topic) {
    if (topic == fleetTopic) return news<FleetPlanNews>(topic, "plan").value_or(FleetPlanNews{}).mark >= mark;
    return news<ServiceNews>(topic, "plan").value_or(ServiceNews{}).mark >= mark;
  });
}

bool LightZone::servedUnder(const ServiceName& service, Epoch epoch) {
  auto primary = news<PrimaryNews>(service.get(), "primary");
  return primary && primary->promoted && primary->epoch >= epoch && leaseUntil(service.get());
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

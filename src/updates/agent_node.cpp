#include "updates/agent_node.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "control/heartbeat_json.hpp"
#include "control/published_entries.hpp"
#include "edge/door_replies.hpp"

namespace tamarindshift {

AgentNode::AgentNode(Clock& clock, PeerLink& link, Journal& journal, AgentSettings settings, std::uint64_t boot)
    : clock_(clock),
      journal_(journal),
      settings_(std::move(settings)),
      replicas_(settings_.seeds),
      desk_(clock, link, boot),
      follower_(
          clock, desk_, journal,
          [this](const Topic& topic) {
            return sources(topic);
          },
          FollowTimings::of(settings_.timings, settings_.databaseReports),
          [this] {
            return isRelay() ? std::nullopt : std::optional{settings_.address};
          }),
      updateServer_(clock, desk_, follower_.updates(), follower_, settings_.timings.newsWait) {
  desk_.serve("report", [this](Address, std::string body) -> Task<std::optional<std::string>> {
    if (auto report = unpacked<NodeReport>(body)) this->report(std::move(*report));
    co_return std::nullopt;
  });
  desk_.serve("report-whole", [this](Address from, std::string) -> Task<std::optional<std::string>> {
    reports_.sendWholeNext(from);
    if (replicas_.contains(from) && reports_.last().boot != 0) desk_.tell(from, "report", reports_.nextMessage(from, clock_.now()));
    co_return std::nullopt;
  });
  scope_.spawn(refreshReplicas());
}

void AgentNode::updateSettings(AgentSettings settings) {
  for (const auto& seed : settings_.seeds) replicas_.erase(seed);
  settings_ = std::move(settings);
  replicas_.insert(settings_.seeds.begin(), settings_.seeds.end());
}

void AgentNode::drain() {
  if (drainingSince_) return;
  drainingSince_ = clock_.now();
  journal_.line("agent draining: stops after the last report of its proxy");
}

bool AgentNode::stopped() const {
  if (!drainingSince_) return false;
  auto now = clock_.now();
  return now - lastReportAt_ > settings_.timings.report + 2 * settings_.timings.reportPause ||
         now - *drainingSince_ > settings_.timings.stop + settings_.timings.report;
}

const ZoneRelays& AgentNode::relays() const {
  const auto* fleet = updates().find(fleetTopic);
  auto mark = fleet ? fleet->mark : 0;
  if (mark == relaysMark_) return relays_;
  relaysMark_ = mark;
  std::vector<Address> agents;
  for (auto entry = fleet->table.lower_bound(nodePrefix); entry != fleet->table.end() && entry->first.starts_with(nodePrefix); ++entry) {
    auto node = unpacked<PublishedNode>(entry->second);
    if (node && node->zone == settings_.zone && !node->draining) agents.push_back(Address{entry->first.substr(nodePrefix.size())});
  }
  relays_ = ZoneRelays{std::move(agents)};
  return relays_;
}

std::vector<Address> AgentNode::sources(const Topic& topic) const {
  // snapshots come from the replicas: the link of a relay has no capacity for them
  auto onlyNode = isRelay() ? std::nullopt : std::optional{settings_.address};
  bool needsSnapshot = updates().completeMark(topic, onlyNode) == 0;
  auto sources = needsSnapshot ? std::vector<Address>{} : relays().relaysFor(topic, settings_.address);
  std::vector<Address> replicas(replicas_.begin(), replicas_.end());
  if (!replicas.empty())
    std::rotate(replicas.begin(),
                replicas.begin() + static_cast<std::ptrdiff_t>(ZoneRelays::hash(settings_.address.get()) % replicas.size()),
                replicas.end());
  sources.insert(sources.end(), replicas.begin(), replicas.end());
  return sources;
}

Task<void> AgentNode::refreshReplicas() {
  for (std::size_t attempt = 0;; ++attempt) {
    std::vector<Address> replicas(replicas_.begin(), replicas_.end());
    auto bytes = co_await desk_.ask(replicas[attempt % replicas.size()], "peers", {}, clock_.now() + settings_.timings.newsPatience);
    if (auto known = bytes ? unpacked<std::set<Address>>(*bytes) : std::nullopt) {
      replicas_ = settings_.seeds;
      replicas_.insert(known->begin(), known->end());
    }
    co_await sleep(clock_, 3s);
  }
}

void AgentNode::report(NodeReport report) {
  lastReportAt_ = clock_.now();
  report.node = settings_.address;
  report.zone = settings_.zone;
  if (!reports_.record(std::move(report))) return;
  for (const auto& replica : replicas_) desk_.tell(replica, "report", reports_.nextMessage(replica, clock_.now()));
}

Task<DoorReply> AgentNode::serve(DoorRequest request) {
  if (request.path == "/heartbeat" || request.path == "/detach") {
    if (request.method != "POST") co_return refusal(405, "wrong method");
    auto heartbeat = heartbeatFromJson(request.body);
    if (!heartbeat) {
      journal_.count("heartbeats.malformed");
      co_return refusal(400, "not a heartbeat");
    }
    if (request.path == "/detach") co_return co_await askReplicas("detach", packed(*heartbeat));
    if (!heartbeat->address.get().empty()) co_return co_await askReplicas("heartbeat-ask", packed(*heartbeat));
    auto bytes = packed(*heartbeat);
    for (const auto& replica : replicas_) desk_.tell(replica, "heartbeat", bytes);
    journal_.count("heartbeats.relayed");
    co_return DoorReply{200, "{}", std::nullopt};
  }
  if (request.method != "GET") co_return refusal(404, "no such path or method");
  if (request.path == "/ready") {
    if (leaseUntil(fleetTopic) && !drainingSince_) co_return DoorReply{200, "{}", std::nullopt};
    co_return refusal(503, drainingSince_ ? "this node is leaving" : "no current lease", {}, settings_.timings.comeBack);
  }
  if (request.path == "/status") co_return pageReply(status());
  if (request.path == "/counters") co_return pageReply(nlohmann::json(journal_.counters()));
  co_return refusal(404, "no such path");
}

Task<DoorReply> AgentNode::askReplicas(std::string subject, std::string body) {
  for (const auto& replica : std::vector<Address>(replicas_.begin(), replicas_.end())) {
    auto bytes = co_await desk_.ask(replica, subject, body, clock_.now() + settings_.timings.orderPatience / 2);
    auto reply = bytes ? unpacked<std::pair<int, std::string>>(*bytes) : std::nullopt;
    if (reply && reply->first != 503) co_return DoorReply{reply->first, reply->second, std::nullopt};
  }
  co_return refusal(503, "no replica took it in time", "send it again", settings_.timings.comeBack);
}

nlohmann::json AgentNode::status() const {
  nlohmann::json json;
  json["address"] = settings_.address.get();
  json["zone"] = settings_.zone.get();
  for (const auto& [topic, followed] : follower_.topics()) {
    auto& topicStatus = json["topics"][topic];
    topicStatus = {{"mark", updates().mark(topic)}, {"source", followed.source.get()}};
    if (followed.leaseUntil && *followed.leaseUntil > clock_.now())
      topicStatus["lease_ms"] = milliseconds(*followed.leaseUntil - clock_.now()).count();
  }
  return json;
}

}  // namespace tamarindshift

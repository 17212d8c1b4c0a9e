#include "scale/hollow_host.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "edge/door_replies.hpp"

namespace tamarindshift {

using Json = nlohmann::json;

HollowHost::HollowHost(Daemon& daemon, const ScaleSettings& settings) : daemon_(daemon), settings_(settings) {}

std::optional<std::string> HollowHost::start() {
  const auto& addresses = settings_.addresses;
  for (auto index = settings_.first; index < settings_.first + settings_.count; ++index) {
    HollowNodeSettings own{addresses.agent(index),
                           addresses.proxy(index),
                           addresses.shape.zone(index),
                           addresses.seeds(),
                           Timings{},
                           [this](const Address& address) {
                             return settings_.addresses.isReplica(address);
                           }};
    auto agentLink = std::make_unique<TcpLink>(daemon_.context, daemon_.clock, journal_, own.agent, Detours{});
    auto proxyLink = std::make_unique<TcpLink>(daemon_.context, daemon_.clock, journal_, own.proxy, Detours{});
    nodes_.push_back(std::make_unique<HollowNode>(daemon_.clock, journal_, *agentLink, *proxyLink, daemon_.web, own, freshEntropy()));
    for (auto* link : {agentLink.get(), proxyLink.get()})
      if (auto fault = link->listen()) return fault;
    links_.push_back(std::move(agentLink));
    links_.push_back(std::move(proxyLink));
    if (auto fault = daemon_.serve(addresses.agentDoor(index), nodes_.back()->agent())) return fault;
  }
  reachedAt_.resize(nodes_.size());
  return daemon_.serve(settings_.control, *this);
}

Task<DoorReply> HollowHost::serve(DoorRequest request) {
  if (request.path == "/measure") {
    Traffic all;
    std::size_t leased = 0;
    for (const auto& node : nodes_) {
      all += node->traffic();
      leased += node->leased();
    }
    Json json{{"nodes", nodes_.size()}, {"leased", leased}};
    for (const auto& [name, flow] : all.in) json["in"][name] = {flow.messages, flow.bytes};
    for (const auto& [name, flow] : all.out) json["out"][name] = {flow.messages, flow.bytes};
    co_return DoorReply{200, json.dump(), std::nullopt};
  }
  if (request.path == "/watch" && request.method == "POST") {
    auto json = Json::parse(request.body, nullptr, false);
    if (!json.is_object()) co_return refusal(400, "malformed");
    watching_ = std::make_unique<TaskScope>();
    std::fill(reachedAt_.begin(), reachedAt_.end(), std::nullopt);
    if (json.contains("mark")) {
      PlanVersion mark{json["mark"].get<std::uint64_t>()};
      watching_->spawn(watch([mark](const HollowNode& node) {
        return node.follows(mark);
      }));
    } else {
      ServiceName service{json.value("service", "")};
      Epoch epoch{json.value("epoch", std::uint64_t{0})};
      watching_->spawn(watch([service, epoch](const HollowNode& node) {
        return node.servedUnder(service, epoch);
      }));
    }
    co_return DoorReply{200, "{}", std::nullopt};
  }
  if (request.path == "/watch") {
    Json json = Json::array();
    for (const auto& at : reachedAt_) json.push_back(at ? at->time_since_epoch().count() : 0);
    co_return DoorReply{200, json.dump(), std::nullopt};
  }
  co_return refusal(404, "no such path");
}

Task<void> HollowHost::watch(std::function<bool(const HollowNode&)> reached) {
  for (;;) {
    bool missing = false;
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
      if (reachedAt_[index]) continue;
      if (reached(*nodes_[index]))
        reachedAt_[index] = daemon_.clock.now();
      else
        missing = true;
    }
    if (!missing) co_return;
    co_await sleep(daemon_.clock, 10ms);
  }
}

}  // namespace tamarindshift

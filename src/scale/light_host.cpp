#include "scale/light_host.hpp"

#include <nlohmann/json.hpp>

#include "edge/door_replies.hpp"

namespace tamarindshift {

using Json = nlohmann::json;

std::optional<std::string> LightHost::start() {
  if (auto fault = zone_.listen()) return fault;
  for (const auto& [address, keeper] : zone_.doors())
    if (auto fault = daemon_.serve(address, *keeper)) return fault;
  return daemon_.serve(settings_.control, *this);
}

Task<DoorReply> LightHost::serve(DoorRequest request) {
  if (request.path == "/measure") {
    auto all = zone_.traffic();
    Json json{{"nodes", zone_.size()}, {"leased", zone_.leased() ? zone_.size() : 0}};
    for (const auto& [name, flow] : all.in) json["in"][name] = {flow.messages, flow.bytes};
    for (const auto& [name, flow] : all.out) json["out"][name] = {flow.messages, flow.bytes};
    co_return DoorReply{200, json.dump(), std::nullopt};
  }
  if (request.path == "/watch" && request.method == "POST") {
    auto json = Json::parse(request.body, nullptr, false);
    if (!json.is_object()) co_return refusal(400, "malformed");
    reachedAt_.reset();
    watching_ = std::make_unique<TaskScope>();
    PlanVersion mark{json.value("mark", std::uint64_t{0})};
    ServiceName service{json.value("service", "")};
    Epoch epoch{json.value("epoch", std::uint64_t{0})};
    bool plan = json.contains("mark");
    watching_->spawn(watch([this, plan, mark, service, epoch] {
      return plan ? zone_.follows(mark) : zone_.servedUnder(service, epoch);
    }));
    co_return DoorReply{200, "{}", std::nullopt};
  }
  if (request.path == "/watch")
    co_return DoorReply{200, Json(std::vector<std::int64_t>(zone_.size(), reachedAt_ ? reachedAt_->time_since_epoch().count() : 0)).dump(),
                        std::nullopt};
  co_return refusal(404, "no such path");
}

Task<void> LightHost::watch(std::function<bool()> reached) {
  while (!reached()) co_await sleep(daemon_.clock, 10ms);
  reachedAt_ = daemon_.clock.now();
}

}  // namespace tamarindshift

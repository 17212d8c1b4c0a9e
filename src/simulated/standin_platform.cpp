#include "simulated/standin_platform.hpp"

#include <nlohmann/json.hpp>

#include "edge/door_replies.hpp"

namespace tamarindshift {

using Json = nlohmann::json;

Task<DoorReply> StandinPlatform::serve(DoorRequest request) {
  static const std::string prefix = "/primary/";
  if (request.method == "GET" && request.path.starts_with(prefix)) {
    auto found = primaries_.find(ServiceName{request.path.substr(prefix.size())});
    if (found == primaries_.end()) co_return refusal(404, "no such service");
    co_return DoorReply{200, Json{{"address", found->second.address.get()}, {"epoch", found->second.epoch.get()}}.dump(), std::nullopt};
  }
  if (request.method == "POST" && request.path == "/promote") co_return co_await promote(std::move(request.body));
  co_return refusal(404, "no such path");
}

Task<DoorReply> StandinPlatform::promote(std::string body) {
  auto json = Json::parse(body, nullptr, false);
  if (!json.is_object()) co_return refusal(400, "malformed");
  ServiceName service{json.value("service", "")};
  Address address{json.value("address", "")};
  Epoch epoch{json.value("epoch", std::uint64_t{0})};
  calls_.push_back(PromoteCall{service, address, epoch, clock_.now()});
  journal_.count("promote_calls");
  if (refusals_ > 0) {
    --refusals_;
    co_return refusal(503, "the platform is busy");
  }
  auto& primary = primaries_[service];
  if (epoch < primary.epoch) co_return refusal(409, "an older epoch");
  Json order{{"epoch", epoch.get()}};
  auto outcome = co_await web_.call(address, "POST", "/promote", order.dump(), clock_.now() + 1s);
  if (!outcome || outcome->status != 200) co_return refusal(502, "the database did not take it");
  if (epoch >= primaries_[service].epoch) primaries_[service] = Primary{address, epoch};
  journal_.line("promoted " + address.get() + " of " + service.get() + " epoch " + std::to_string(epoch.get()));
  if (losses_ > 0) {
    --losses_;
    co_await sleep(clock_, 5s);
  }
  co_return DoorReply{200, "{}", std::nullopt};
}

}  // namespace tamarindshift

#include "tests/platform/standin_promotion_api.hpp"

#include <nlohmann/json.hpp>

#include "tests/platform/door_headers.hpp"
#include "tests/platform/standin_wire_database.hpp"

namespace tamarindshift::testing {

Task<DoorReply> StandinPromotionApi::serve(DoorRequest request) {
  if (delay_ > Duration::zero()) co_await sleep(clock_, delay_);
  if (down_) co_return DoorReply{503, "{}", std::nullopt};
  if (request.method != "POST" || request.path != "/promotion") co_return DoorReply{404, "{}", std::nullopt};
  auto json = nlohmann::json::parse(request.body, nullptr, false);
  if (!json.is_object() || !json.contains("targetService") || !json.contains("id")) co_return DoorReply{400, "{}", std::nullopt};
  PromotionCall call;
  call.at = clock_.now();
  call.service = json["targetService"].is_string() ? json["targetService"].get<std::string>() : "";
  call.database = json["id"].is_string() ? json["id"].get<std::string>() : "";
  call.holder = headerOf(request, "Tamarindshift-Duty-Holder");
  call.fence = headerOf(request, "Tamarindshift-Fence-Number");
  call.status = take(call);
  calls_.push_back(call);
  co_return DoorReply{call.status, "{}", std::nullopt};
}

int StandinPromotionApi::take(const PromotionCall& call) {
  while (!recent_.empty() && recent_.front() + 1s <= clock_.now()) recent_.pop_front();
  if (recent_.size() >= settings_.ratePerSecond) return 429;
  recent_.push_back(clock_.now());
  auto service = services_.find(call.service);
  if (service == services_.end()) return 404;
  if (settings_.fenceChecked) {
    auto fence = wholeWireNumber(call.fence).value_or(0);
    if (fence < fences_[call.service]) return 409;
    fences_[call.service] = fence;
  }
  auto* database = service->second->find(call.database);
  if (!database) return 409;
  if (call.database == service->second->leader() && database->leads()) return 200;
  scope_.spawn(promote(*service->second, call.database));
  return 200;
}

Task<void> StandinPromotionApi::promote(StandinWireService& service, std::string database) {
  co_await sleep(clock_, settings_.takesEffect);
  service.promote(database);
}

}  // namespace tamarindshift::testing

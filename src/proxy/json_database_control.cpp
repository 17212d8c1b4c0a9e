#include "proxy/json_database_control.hpp"

#include <nlohmann/json.hpp>

#include "proxy/database_json.hpp"

namespace tamarindshift {

namespace {

std::optional<DatabaseStatus> statusOf(const std::optional<WebOutcome>& outcome) {
  if (!outcome || outcome->status != 200) return std::nullopt;
  return statusFromJson(outcome->body);
}

}  // namespace

Task<std::optional<DatabaseStatus>> JsonDatabaseControl::status(DatabaseTarget target, Instant deadline) {
  auto outcome = co_await web_.call(target.address, "GET", "/status", {}, deadline);
  co_return statusOf(outcome);
}

Task<std::optional<DatabaseStatus>> JsonDatabaseControl::demote(DatabaseTarget target, Epoch epoch, Instant deadline) {
  nlohmann::json body{{"epoch", epoch.get()}};
  auto outcome = co_await web_.call(target.address, "POST", "/demote", body.dump(), deadline);
  co_return statusOf(outcome);
}

Task<PromotionOutcome> JsonDatabaseControl::promote(DatabaseTarget target, Epoch epoch, DutyHolder holder, Instant deadline) {
  nlohmann::json body{
      {"service", target.service.get()}, {"database", target.database.get()}, {"address", target.address.get()}, {"epoch", epoch.get()}};
  auto connection = co_await web_.open(platform_, deadline);
  if (!connection || !holder.mayAct()) co_return PromotionOutcome::unanswered;
  auto outcome = co_await connection->exchange("POST", "/promote", body.dump(), deadline);
  bool led = outcome.fate == PassFate::replied && outcome.status == 200;
  co_return led ? PromotionOutcome::promoted : PromotionOutcome::unanswered;
}

}  // namespace tamarindshift

#include "edge/door_replies.hpp"

#include <nlohmann/json.hpp>

namespace tamarindshift {

DoorReply refusal(int status, const std::string& reason, const std::string& detail, std::optional<Duration> comeBack) {
  nlohmann::json json{{"reason", reason}};
  if (!detail.empty()) json["detail"] = detail;
  if (comeBack) json["come_back_ms"] = milliseconds(*comeBack).count();
  return DoorReply{status, json.dump(), comeBack};
}

DoorReply metricsReply(std::string page) {
  return DoorReply{200, std::move(page), std::nullopt, "text/plain; version=0.0.4"};
}

}  // namespace tamarindshift

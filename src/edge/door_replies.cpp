#include "edge/door_replies.hpp"

#include <nlohmann/json.hpp>

namespace tamarindshift {

namespace {

std::string jsonText(const nlohmann::json& json, int indent = -1) {
  return json.dump(indent, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

DoorReply refusal(int status, const std::string& reason, const std::string& detail, std::optional<Duration> comeBack) {
  nlohmann::json json{{"reason", reason}};
  if (!detail.empty()) json["detail"] = detail;
  if (comeBack) json["come_back_ms"] = milliseconds(*comeBack).count();
  return DoorReply{status, jsonText(json), comeBack};
}

DoorReply pageReply(const nlohmann::json& page) {
  constexpr int indent = 2;
  return DoorReply{200, jsonText(page, indent), std::nullopt};
}

DoorReply metricsReply(std::string page) {
  return DoorReply{200, std::move(page), std::nullopt, "text/plain; version=0.0.4"};
}

}  // namespace tamarindshift

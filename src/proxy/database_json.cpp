#include "proxy/database_json.hpp"

#include <array>

#include <nlohmann/json.hpp>

#include "base/whole_number.hpp"

namespace tamarindshift {

namespace {

using Json = nlohmann::json;
constexpr std::array<const char*, 7> operationNames{"statement", "begin", "commit", "rollback", "prepare", "execute", "set"};

Json statusJson(const DatabaseStatus& status) {
  return Json{{"role", status.role},
              {"epoch", status.epoch.get()},
              {"position", status.position.get()},
              {"contact_age_ms", milliseconds(status.contactAge).count()}};
}

DatabaseStatus statusOf(const Json& json) {
  Epoch epoch{wholeNumber(json.at("epoch"))};
  return DatabaseStatus{json.at("role").get<std::string>(), epoch, Position{wholeNumber(json.at("position"))},
                        std::chrono::milliseconds{std::min(wholeNumber(json.at("contact_age_ms")), mostAge)}, epoch};
}

template <class Reader>
auto parsed(const std::string& body, Reader reader) -> std::optional<decltype(reader(Json{}))> {
  try {
    return reader(Json::parse(body));
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

const char* operationName(Operation operation) {
  return operationNames[static_cast<std::size_t>(operation)];
}

std::optional<Operation> parseOperation(const std::string& name) {
  for (std::size_t index = 0; index < operationNames.size(); ++index)
    if (name == operationNames[index]) return static_cast<Operation>(index);
  return std::nullopt;
}

std::string requestToJson(const DatabaseRequest& request) {
  Json parameters = Json::array();
  for (const auto& parameter : request.parameters) parameters.push_back(parameter ? Json(*parameter) : Json(nullptr));
  Json json{{"operation", operationName(request.operation)}, {"text", request.text}, {"reads", request.reads}};
  if (!request.name.empty()) json["name"] = request.name;
  if (!parameters.empty()) json["parameters"] = parameters;
  return json.dump();
}

std::optional<DatabaseRequest> requestFromJson(const std::string& body) {
  return parsed(body, [](const Json& json) {
    DatabaseRequest request;
    auto operation = parseOperation(json.at("operation").get<std::string>());
    request.operation = operation.value_or(Operation::statement);
    request.text = json.value("text", "");
    request.name = json.value("name", "");
    request.reads = json.value("reads", false);
    for (const auto& parameter : json.value("parameters", Json::array()))
      request.parameters.push_back(parameter.is_null() ? std::nullopt : std::optional{parameter.get<std::string>()});
    return request;
  });
}

std::string replyToJson(const DatabaseReply& reply) {
  Json json{{"done", reply.done}, {"result", reply.result}, {"standing", statusJson(reply.status)}};
  if (!reply.reason.empty()) json["reason"] = reply.reason;
  if (!reply.replicated) json["replicated"] = false;
  if (reply.commitPosition != Position{}) json["kept_at"] = reply.commitPosition.get();
  return json.dump();
}

std::optional<DatabaseReply> replyFromJson(const std::string& body) {
  return parsed(body, [](const Json& json) {
    auto status = statusOf(json.at("standing"));
    Position commitPosition{json.contains("kept_at") ? wholeNumber(json["kept_at"]) : status.position.get()};
    return DatabaseReply{json.at("done").get<bool>(),
                         json.value("replicated", true),
                         json.value("reason", ""),
                         json.at("result").get<std::string>(),
                         status,
                         commitPosition};
  });
}

std::string statusToJson(const DatabaseStatus& status) {
  return statusJson(status).dump();
}

std::optional<DatabaseStatus> statusFromJson(const std::string& body) {
  return parsed(body, [](const Json& json) {
    return statusOf(json);
  });
}

}  // namespace tamarindshift

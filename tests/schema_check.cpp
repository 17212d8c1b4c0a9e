#include "tests/schema_check.hpp"

#include <algorithm>
#include <fstream>

namespace tamarindshift {

using Json = nlohmann::json;

SchemaCheck::SchemaCheck() : schema_(Json::parse(std::ifstream(std::string(SCHEMA_FOLDER) + "/calls.json"))) {}

std::vector<std::string> SchemaCheck::faults(const std::string& name, const Json& body) const {
  std::vector<std::string> found;
  check(schema_.at("$defs").at(name), body, name, found);
  return found;
}

std::vector<std::string> SchemaCheck::faults(const std::string& door, const std::string& call, const DoorReply& reply) const {
  const auto& replies = schema_.at("doors").at(door).at(call).at("replies");
  auto status = std::to_string(reply.status);
  if (!replies.contains(status)) return {door + "." + call + ": no reply of status " + status};
  auto body = Json::parse(reply.body, nullptr, false);
  if (body.is_discarded()) return {door + "." + call + ": not JSON"};
  std::vector<std::string> all;
  for (const auto& name : replies.at(status)) {
    auto found = faults(name.get<std::string>(), body);
    if (found.empty()) return {};
    all.insert(all.end(), found.begin(), found.end());
  }
  return all;
}

bool SchemaCheck::is(const Json& type, const Json& body) {
  if (type.is_array())
    return std::any_of(type.begin(), type.end(), [&](const Json& each) {
      return is(each, body);
    });
  if (type == "object") return body.is_object();
  if (type == "array") return body.is_array();
  if (type == "string") return body.is_string();
  if (type == "boolean") return body.is_boolean();
  if (type == "null") return body.is_null();
  return type == "integer" && body.is_number_integer();
}

void SchemaCheck::check(const Json& schema, const Json& body, const std::string& path, std::vector<std::string>& found) const {
  if (schema.contains("$ref")) {
    auto name = schema.at("$ref").get<std::string>();
    return check(schema_.at("$defs").at(name.substr(name.rfind('/') + 1)), body, path, found);
  }
  if (schema.contains("enum")) {
    const auto& values = schema.at("enum");
    if (std::find(values.begin(), values.end(), body) == values.end()) found.push_back(path + ": none of the values");
    return;
  }
  if (!is(schema.at("type"), body)) return found.push_back(path + ": must be " + schema.at("type").dump());
  if (schema.contains("minimum") && body < schema.at("minimum")) found.push_back(path + ": below " + schema.at("minimum").dump());
  if (body.is_array())
    for (std::size_t index = 0; index < body.size(); ++index)
      check(schema.at("items"), body[index], path + "[" + std::to_string(index) + "]", found);
  if (!body.is_object()) return;
  for (const auto& key : schema.value("required", Json::array()))
    if (!body.contains(key.get<std::string>())) found.push_back(path + ": lacks " + key.get<std::string>());
  auto properties = schema.value("properties", Json::object());
  auto others = schema.value("additionalProperties", Json(true));
  for (const auto& [key, value] : body.items()) {
    auto own = path + "." + key;
    if (properties.contains(key))
      check(properties.at(key), value, own, found);
    else if (others.is_object())
      check(others, value, own, found);
    else if (others == false)
      found.push_back(own + ": not in the schema");
  }
}

}  // namespace tamarindshift

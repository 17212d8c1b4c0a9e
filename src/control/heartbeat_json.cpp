#include "control/heartbeat_json.hpp"

#include <nlohmann/json.hpp>

#include "base/whole_number.hpp"

namespace tamarindshift {

std::optional<DatabaseHeartbeat> heartbeatFromJson(const std::string& body) {
  try {
    auto json = nlohmann::json::parse(body);
    DatabaseHeartbeat heartbeat;
    heartbeat.service = ServiceName{json.at("service").get<std::string>()};
    heartbeat.database = DatabaseName{json.at("database").get<std::string>()};
    heartbeat.boot = wholeNumber(json.at("boot"));
    heartbeat.number = wholeNumber(json.at("number"));
    heartbeat.role = json.at("role").get<std::string>();
    heartbeat.epoch = Epoch{wholeNumber(json.at("epoch"))};
    heartbeat.position = Position{wholeNumber(json.at("position"))};
    heartbeat.contactAge = std::chrono::milliseconds{std::min(wholeNumber(json.at("contact_age_ms")), mostAge)};
    heartbeat.leaving = json.value("leaving", false);
    heartbeat.address = Address{json.value("address", "")};
    heartbeat.zone = Zone{json.value("zone", "")};
    if (json.contains("capacity"))
      heartbeat.capacity = static_cast<std::uint32_t>(std::min<std::uint64_t>(wholeNumber(json["capacity"]), UINT32_MAX));
    if (!heartbeat.address.get().empty() && !splitAddress(heartbeat.address)) return std::nullopt;
    if (heartbeat.role != "primary" && heartbeat.role != "replica") return std::nullopt;
    return heartbeat;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

std::string heartbeatToJson(const DatabaseHeartbeat& heartbeat) {
  nlohmann::json json{{"service", heartbeat.service.get()},
                      {"database", heartbeat.database.get()},
                      {"boot", heartbeat.boot},
                      {"number", heartbeat.number},
                      {"role", heartbeat.role},
                      {"epoch", heartbeat.epoch.get()},
                      {"position", heartbeat.position.get()},
                      {"contact_age_ms", milliseconds(heartbeat.contactAge).count()},
                      {"leaving", heartbeat.leaving}};
  if (!heartbeat.address.get().empty())
    json.update({{"address", heartbeat.address.get()}, {"zone", heartbeat.zone.get()}, {"capacity", heartbeat.capacity}});
  return json.dump();
}

}  // namespace tamarindshift

#include "control/beat_json.hpp"

#include <nlohmann/json.hpp>

namespace tamarindshift {

std::optional<DatabaseBeat> beatFromJson(const std::string& body) {
  try {
    auto json = nlohmann::json::parse(body);
    DatabaseBeat beat;
    beat.service = ServiceName{json.at("service").get<std::string>()};
    beat.database = DatabaseName{json.at("database").get<std::string>()};
    beat.boot = json.at("boot").get<std::uint64_t>();
    beat.number = json.at("number").get<std::uint64_t>();
    beat.role = json.at("role").get<std::string>();
    beat.epoch = Epoch{json.at("epoch").get<std::uint64_t>()};
    beat.position = Position{json.at("position").get<std::uint64_t>()};
    beat.contactAge = std::chrono::milliseconds{json.at("contact_age_ms").get<std::int64_t>()};
    beat.leaving = json.value("leaving", false);
    return beat;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

std::string beatToJson(const DatabaseBeat& beat) {
  return nlohmann::json{{"service", beat.service.get()},
                        {"database", beat.database.get()},
                        {"boot", beat.boot},
                        {"number", beat.number},
                        {"role", beat.role},
                        {"epoch", beat.epoch.get()},
                        {"position", beat.position.get()},
                        {"contact_age_ms", milliseconds(beat.contactAge).count()},
                        {"leaving", beat.leaving}}
      .dump();
}

}  // namespace tamarindshift

#include "control/beat_json.hpp"

#include <nlohmann/json.hpp>

#include "base/whole_number.hpp"

namespace tamarindshift {

std::optional<DatabaseBeat> beatFromJson(const std::string& body) {
  try {
    auto json = nlohmann::json::parse(body);
    DatabaseBeat beat;
    beat.service = ServiceName{json.at("service").get<std::string>()};
    beat.database = DatabaseName{json.at("database").get<std::string>()};
    beat.boot = wholeNumber(json.at("boot"));
    beat.number = wholeNumber(json.at("number"));
    beat.role = json.at("role").get<std::string>();
    beat.epoch = Epoch{wholeNumber(json.at("epoch"))};
    beat.position = Position{wholeNumber(json.at("position"))};
    beat.contactAge = std::chrono::milliseconds{std::min(wholeNumber(json.at("contact_age_ms")), mostAge)};
    beat.leaving = json.value("leaving", false);
    if (beat.role != "primary" && beat.role != "replica") return std::nullopt;
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

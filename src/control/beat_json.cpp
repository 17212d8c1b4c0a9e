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
    beat.address = Address{json.value("address", "")};
    beat.zone = District{json.value("zone", "")};
    if (json.contains("capacity")) beat.capacity = static_cast<std::uint32_t>(std::min<std::uint64_t>(wholeNumber(json["capacity"]), UINT32_MAX));
    if (!beat.address.get().empty() && !splitAddress(beat.address)) return std::nullopt;
    if (beat.role != "primary" && beat.role != "replica") return std::nullopt;
    return beat;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

std::string beatToJson(const DatabaseBeat& beat) {
  nlohmann::json json{{"service", beat.service.get()},
                      {"database", beat.database.get()},
                      {"boot", beat.boot},
                      {"number", beat.number},
                      {"role", beat.role},
                      {"epoch", beat.epoch.get()},
                      {"position", beat.position.get()},
                      {"contact_age_ms", milliseconds(beat.contactAge).count()},
                      {"leaving", beat.leaving}};
  if (!beat.address.get().empty()) json.update({{"address", beat.address.get()}, {"zone", beat.zone.get()}, {"capacity", beat.capacity}});
  return json.dump();
}

}  // namespace tamarindshift

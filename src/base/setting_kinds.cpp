#include "base/setting_kinds.hpp"

#include <charconv>
#include <sstream>

namespace tamarindshift {

namespace {

std::optional<std::size_t> wholeNumber(const std::string& text) {
  std::size_t value = 0;
  auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || stop != text.data() + text.size()) return std::nullopt;
  return value;
}

std::string rangeText(std::size_t least, std::size_t most) {
  return "from " + std::to_string(least) + " to " + std::to_string(most);
}

std::optional<std::string> takeAddresses(const std::string& text, std::set<Address>& target) {
  std::set<Address> read;
  std::istringstream stream(text);
  for (std::string each; std::getline(stream, each, ',');) {
    if (!splitAddress(Address{each})) return "not of the form ip:port: " + each;
    read.insert(Address{each});
  }
  target = read;
  return std::nullopt;
}

}  // namespace

Setting addressSetting(std::string key, std::string meaning, Address& target) {
  auto setting = optionalAddressSetting(std::move(key), std::move(meaning), target);
  setting.required = true;
  return setting;
}

Setting optionalAddressSetting(std::string key, std::string meaning, Address& target) {
  return Setting{std::move(key), std::move(meaning), target.get(), false, [&target](const std::string& text) -> std::optional<std::string> {
                   if (!splitAddress(Address{text})) return "not of the form ip:port";
                   target = Address{text};
                   return std::nullopt;
                 }};
}

Setting seedsSetting(std::set<Address>& target) {
  return Setting{"seeds", "three addresses of replicas, with commas between", "", true,
                 [&target](const std::string& text) -> std::optional<std::string> {
                   if (auto fault = takeAddresses(text, target)) return fault;
                   if (target.size() != 3) return "must be three different addresses";
                   return std::nullopt;
                 }};
}

Setting addressesSetting(std::string key, std::string meaning, std::set<Address>& target) {
  return Setting{std::move(key), std::move(meaning), "", false, [&target](const std::string& text) {
                   return takeAddresses(text, target);
                 }};
}

Setting detoursSetting(Detours& target) {
  return Setting{"detours", "relays to go through, as ip:port=ip:port with commas between; for trials", "", false,
                 [&target](const std::string& text) -> std::optional<std::string> {
                   Detours read;
                   std::istringstream stream(text);
                   for (std::string each; std::getline(stream, each, ',');) {
                     auto equals = each.find('=');
                     Address from{each.substr(0, equals)};
                     Address via{equals == std::string::npos ? "" : each.substr(equals + 1)};
                     if (!splitAddress(from) || !splitAddress(via)) return "not of the form ip:port=ip:port: " + each;
                     read[from] = via;
                   }
                   target = read;
                   return std::nullopt;
                 }};
}

Setting zoneSetting(Zone& target) {
  return Setting{"zone", "name of the zone this process runs in", "", true,
                 [&target](const std::string& text) -> std::optional<std::string> {
                   if (text.empty()) return "must not be empty";
                   target = Zone{text};
                   return std::nullopt;
                 }};
}

Setting textSetting(std::string key, std::string meaning, std::string& target, bool required) {
  return Setting{std::move(key), std::move(meaning), target, required, [&target](const std::string& text) -> std::optional<std::string> {
                   if (text.empty()) return "must not be empty";
                   target = text;
                   return std::nullopt;
                 }};
}

Setting durationSetting(std::string key, std::string meaning, Duration& target, Duration least, Duration most) {
  auto range = rangeText(static_cast<std::size_t>(milliseconds(least).count()), static_cast<std::size_t>(milliseconds(most).count()));
  return Setting{std::move(key), std::move(meaning) + ", in milliseconds " + range, std::to_string(milliseconds(target).count()), false,
                 [&target, least, most, range](const std::string& text) -> std::optional<std::string> {
                   auto value = wholeNumber(text);
                   bool fits = value && *value >= static_cast<std::size_t>(milliseconds(least).count()) &&
                               *value <= static_cast<std::size_t>(milliseconds(most).count());
                   if (!fits) return "must be a whole number " + range;
                   target = std::chrono::milliseconds{*value};
                   return std::nullopt;
                 }};
}

Setting numberSetting(std::string key, std::string meaning, std::size_t& target, std::size_t least, std::size_t most) {
  auto range = rangeText(least, most);
  return Setting{std::move(key), std::move(meaning) + ", " + range, std::to_string(target), false,
                 [&target, least, most, range](const std::string& text) -> std::optional<std::string> {
                   auto value = wholeNumber(text);
                   if (!value || *value < least || *value > most) return "must be a whole number " + range;
                   target = *value;
                   return std::nullopt;
                 }};
}

Setting rationsSetting(bool& target) {
  return flagSetting(
      "rations", "whether nodes agree which work a crowded database gets first; only once all replicas run a release that knows rations",
      target);
}

Setting flagSetting(std::string key, std::string meaning, bool& target) {
  return Setting{std::move(key), std::move(meaning) + ", true or false", target ? "true" : "false", false,
                 [&target](const std::string& text) -> std::optional<std::string> {
                   if (text != "true" && text != "false") return "must be true or false";
                   target = text == "true";
                   return std::nullopt;
                 }};
}

}  // namespace tamarindshift

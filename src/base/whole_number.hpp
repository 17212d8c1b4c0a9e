#pragma once

#include <algorithm>
#include <cstdint>

#include <nlohmann/json.hpp>

namespace tamarindshift {

inline constexpr std::uint64_t mostAge = 1'000'000'000;

inline std::uint64_t wholeNumber(const nlohmann::json& json) {
  if (!json.is_number_unsigned()) throw nlohmann::json::type_error::create(302, "must be a whole number", &json);
  return json.get<std::uint64_t>();
}

}  // namespace tamarindshift

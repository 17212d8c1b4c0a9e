#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace tamarindshift::testing {

struct WirePosition {
  std::uint64_t term = 0;
  std::uint64_t number = 0;
  auto operator<=>(const WirePosition&) const = default;
};

std::optional<std::uint64_t> wholeWireNumber(const std::string& text);
std::optional<WirePosition> parseWirePosition(const std::string& text);
std::string wireText(const WirePosition& position);

}  // namespace tamarindshift::testing

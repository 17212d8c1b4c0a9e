#include "tests/platform/wire_position.hpp"

#include <charconv>

namespace tamarindshift::testing {

std::optional<std::uint64_t> wholeWireNumber(const std::string& text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  auto [stop, error] = std::from_chars(text.data(), end, number);
  if (text.empty() || error != std::errc{} || stop != end) return std::nullopt;
  return number;
}

std::optional<WirePosition> parseWirePosition(const std::string& text) {
  auto point = text.find('.');
  if (point == std::string::npos) return std::nullopt;
  auto term = wholeWireNumber(text.substr(0, point));
  auto number = wholeWireNumber(text.substr(point + 1));
  if (!term || !number) return std::nullopt;
  return WirePosition{*term, *number};
}

std::string wireText(const WirePosition& position) {
  return std::to_string(position.term) + "." + std::to_string(position.number);
}

}  // namespace tamarindshift::testing

#include "base/duration_text.hpp"

namespace tamarindshift {

std::optional<Duration> durationText(const std::string& text) {
  std::size_t used = 0;
  double amount = 0;
  try {
    amount = std::stod(text, &used);
  } catch (const std::exception&) {
    return std::nullopt;
  }
  auto unit = text.substr(used);
  if (unit == "s") return Duration{static_cast<std::int64_t>(amount * 1e6)};
  if (unit == "ms") return Duration{static_cast<std::int64_t>(amount * 1e3)};
  if (unit == "us") return Duration{static_cast<std::int64_t>(amount)};
  return std::nullopt;
}

}  // namespace tamarindshift

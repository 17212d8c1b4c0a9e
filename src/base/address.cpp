#include "base/address.hpp"

#include <charconv>

namespace tamarindshift {

std::optional<HostAndPort> splitAddress(const Address& address) {
  const auto& text = address.get();
  auto colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) return std::nullopt;
  HostAndPort split{text.substr(0, colon), 0};
  const char* end = text.data() + text.size();
  auto [stop, error] = std::from_chars(text.data() + colon + 1, end, split.port);
  if (error != std::errc{} || stop != end || split.port == 0) return std::nullopt;
  return split;
}

}  // namespace tamarindshift

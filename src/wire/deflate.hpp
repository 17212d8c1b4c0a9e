#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace tamarindshift {

/// `bytes` compressed with zlib for speed; begins with a byte that no packed message begins with.
std::string deflated(const std::string& bytes);

/// Whether these bytes are what `deflated` made.
bool isDeflated(const std::string& bytes);

/// The bytes behind `deflated`; no value if they are damaged or longer than `most`.
std::optional<std::string> inflated(const std::string& bytes, std::size_t most);

}  // namespace tamarindshift

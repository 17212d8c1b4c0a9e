#pragma once

#include <cstddef>
#include <optional>
#include <string>

// Compression of large packed messages.

namespace tamarindshift {

/// Compresses `bytes` with zlib at its fastest level. The result begins with a byte that no packed message begins with, so
/// that a receiver can tell both forms apart.
std::string deflated(const std::string& bytes);

/// Whether `bytes` begin as a result of `deflated` does.
bool isDeflated(const std::string& bytes);

/// Reverses `deflated`; no value if the bytes are damaged or stand for more than `maxLength` bytes.
std::optional<std::string> inflated(const std::string& bytes, std::size_t maxLength);

}  // namespace tamarindshift

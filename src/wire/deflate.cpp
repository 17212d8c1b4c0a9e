#include "wire/deflate.hpp"

#include <cstdint>
#include <cstring>

#include <zlib.h>

namespace tamarindshift {

namespace {

// A packed message is a MessagePack array, whose first byte is never this one (a positive fixint).
constexpr char marker = 'z';
// the marker and the length of the uncompressed bytes
constexpr std::size_t headerSize = 1 + sizeof(std::uint32_t);

}  // namespace

bool isDeflated(const std::string& bytes) {
  return bytes.size() >= headerSize && bytes.front() == marker;
}

std::string deflated(const std::string& bytes) {
  auto compressedSize = compressBound(bytes.size());
  std::string result(headerSize + compressedSize, '\0');
  auto length = static_cast<std::uint32_t>(bytes.size());
  result[0] = marker;
  std::memcpy(result.data() + 1, &length, sizeof(length));
  auto* target = reinterpret_cast<Bytef*>(result.data() + headerSize);
  compress2(target, &compressedSize, reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(), Z_BEST_SPEED);
  result.resize(headerSize + compressedSize);
  return result;
}

std::optional<std::string> inflated(const std::string& bytes, std::size_t maxLength) {
  if (!isDeflated(bytes)) return std::nullopt;
  std::uint32_t length = 0;
  std::memcpy(&length, bytes.data() + 1, sizeof(length));
  if (length > maxLength) return std::nullopt;
  std::string result(length, '\0');
  uLongf written = length;
  auto* target = reinterpret_cast<Bytef*>(result.data());
  auto* source = reinterpret_cast<const Bytef*>(bytes.data() + headerSize);
  if (uncompress(target, &written, source, bytes.size() - headerSize) != Z_OK || written != length) return std::nullopt;
  return result;
}

}  // namespace tamarindshift

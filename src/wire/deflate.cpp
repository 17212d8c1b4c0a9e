#include "wire/deflate.hpp"

#include <cstdint>
#include <cstring>

#include <zlib.h>

namespace tamarindshift {

namespace {

// a packed message is a msgpack array and never begins with this positive number
constexpr char marker = 'z';
constexpr std::size_t headSize = 1 + sizeof(std::uint32_t);

}  // namespace

bool isDeflated(const std::string& bytes) {
  return bytes.size() >= headSize && bytes.front() == marker;
}

std::string deflated(const std::string& bytes) {
  auto room = compressBound(bytes.size());
  std::string result(headSize + room, '\0');
  auto length = static_cast<std::uint32_t>(bytes.size());
  result[0] = marker;
  std::memcpy(result.data() + 1, &length, sizeof(length));
  auto* target = reinterpret_cast<Bytef*>(result.data() + headSize);
  compress2(target, &room, reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(), Z_BEST_SPEED);
  result.resize(headSize + room);
  return result;
}

std::optional<std::string> inflated(const std::string& bytes, std::size_t most) {
  if (!isDeflated(bytes)) return std::nullopt;
  std::uint32_t length = 0;
  std::memcpy(&length, bytes.data() + 1, sizeof(length));
  if (length > most) return std::nullopt;
  std::string result(length, '\0');
  uLongf written = length;
  auto* target = reinterpret_cast<Bytef*>(result.data());
  auto* source = reinterpret_cast<const Bytef*>(bytes.data() + headSize);
  if (uncompress(target, &written, source, bytes.size() - headSize) != Z_OK || written != length) return std::nullopt;
  return result;
}

}  // namespace tamarindshift

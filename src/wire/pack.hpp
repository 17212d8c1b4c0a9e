#pragma once

#include <msgpack.hpp>
#include <optional>
#include <string>

#include "base/strong.hpp"
#include "base/time.hpp"

// Conversion of messages and stored records to and from bytes with MessagePack. The fields of a struct are written by
// position: fields that are missing at the end keep their defaults, additional ones at the end are ignored.

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <class Tag, class Value>
  struct convert<tamarindshift::Strong<Tag, Value>> {
    const msgpack::object& operator()(const msgpack::object& object, tamarindshift::Strong<Tag, Value>& strong) const {
      strong = tamarindshift::Strong<Tag, Value>{object.as<Value>()};
      return object;
    }
  };

  template <class Tag, class Value>
  struct pack<tamarindshift::Strong<Tag, Value>> {
    template <class Stream>
    packer<Stream>& operator()(packer<Stream>& packer, const tamarindshift::Strong<Tag, Value>& strong) const {
      return packer.pack(strong.get());
    }
  };

  template <>
  struct convert<tamarindshift::Duration> {
    const msgpack::object& operator()(const msgpack::object& object, tamarindshift::Duration& duration) const {
      duration = tamarindshift::Duration{object.as<std::int64_t>()};
      return object;
    }
  };

  template <>
  struct pack<tamarindshift::Duration> {
    template <class Stream>
    packer<Stream>& operator()(packer<Stream>& packer, const tamarindshift::Duration& duration) const {
      return packer.pack(static_cast<std::int64_t>(duration.count()));
    }
  };

  }  // namespace adaptor
}
}  // namespace msgpack

namespace tamarindshift {

/// The MessagePack form of `value`.
template <class Value>
std::string packed(const Value& value) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, value);
  return std::string{buffer.data(), buffer.size()};
}

/// Reverses `packed`; no value if `bytes` have another shape, are cut off, or go on behind the value.
template <class Value>
std::optional<Value> unpacked(const std::string& bytes) {
  try {
    std::size_t offset = 0;
    auto handle = msgpack::unpack(bytes.data(), bytes.size(), offset);
    if (offset != bytes.size()) return std::nullopt;
    return handle.get().as<Value>();
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace tamarindshift

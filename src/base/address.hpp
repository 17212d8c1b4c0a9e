#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/strong.hpp"

namespace tamarindshift {

using Address = Strong<struct AddressTag, std::string>;
using Zone = Strong<struct ZoneTag, std::string>;

struct HostAndPort {
  std::string host;
  std::uint16_t port = 0;
};

std::optional<HostAndPort> splitAddress(const Address& address);

/// The host of an address as it is written, which names the machine.
inline std::string hostOf(const Address& address) {
  return address.get().substr(0, address.get().rfind(':'));
}

using Detours = std::map<Address, Address>;

inline const Address& detoured(const Detours& detours, const Address& address) {
  auto found = detours.find(address);
  return found == detours.end() ? address : found->second;
}

}  // namespace tamarindshift

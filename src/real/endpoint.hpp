#pragma once

#include <optional>

#include "base/address.hpp"
#include "real/asio.hpp"

namespace tamarindshift {

inline std::optional<boost::asio::ip::tcp::endpoint> endpointOf(const Address& address) {
  auto split = splitAddress(address);
  if (!split) return std::nullopt;
  boost::system::error_code error;
  auto host = boost::asio::ip::make_address(split->host, error);
  if (error) return std::nullopt;
  return boost::asio::ip::tcp::endpoint{host, split->port};
}

}  // namespace tamarindshift

#pragma once

#include "base/address.hpp"
#include "tests/platform/platform_configuration.hpp"

namespace tamarindshift::testing {

struct ConfigurationSent {
  std::string body;
  std::optional<PlatformConfiguration> configuration;  // as far as it can be read
  bool valid = true;
  Address node;
  Instant sentAt{};
  std::optional<Instant> acknowledgedAt;
  std::optional<Instant> refusedAt;
};

struct ConfigurationRead {
  Instant at{};
  std::optional<std::string> body;
};

struct OperatorHistory {
  std::vector<ConfigurationSent> sent;
  std::vector<ConfigurationRead> reads;
};

}  // namespace tamarindshift::testing

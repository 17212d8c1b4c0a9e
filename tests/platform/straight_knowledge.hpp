#pragma once

#include <map>

#include "base/address.hpp"
#include "tests/platform/platform_configuration.hpp"

namespace tamarindshift::testing {

// what straight poolers know, shared among them without any agreement
struct StraightKnowledge {
  struct Database {
    std::string service;
    Address address;
    bool primary = false;
    bool quiescing = false;
    Instant heartbeatAt{};
  };
  std::optional<PlatformConfiguration> configuration;
  std::string configurationBody;
  std::map<std::string, Database> databases;
  std::map<std::string, std::string> primaries;
  std::map<std::string, Instant> promotingSince;
  std::uint64_t fence = 0;
};

}  // namespace tamarindshift::testing

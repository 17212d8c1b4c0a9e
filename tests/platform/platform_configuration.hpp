#pragma once

#include <vector>

#include "base/time.hpp"
#include "tests/platform/route_class.hpp"

namespace tamarindshift::testing {

struct PlatformRoute {
  std::string name;
  std::string hostName;
  RouteClass routeClass = RouteClass::primary;
  std::string targetService;
  std::chrono::milliseconds guard{800};
  std::chrono::milliseconds target{200};
  unsigned precedence = 1;
  std::chrono::milliseconds staleness{0};
  bool operator==(const PlatformRoute&) const = default;
};

struct PlatformService {
  std::string name;
  unsigned trunkLimit = 120;
  unsigned syncReplicas = 0;
  bool operator==(const PlatformService&) const = default;
};

struct PlatformConfiguration {
  std::uint64_t revision = 0;
  std::vector<PlatformRoute> routes;
  std::vector<PlatformService> services;
  std::chrono::milliseconds txIdle{3000};
  bool operator==(const PlatformConfiguration&) const = default;

  const PlatformRoute* route(const std::string& hostName) const;
  bool valid() const;
};

std::string configurationJson(const PlatformConfiguration& configuration);
std::optional<PlatformConfiguration> parseConfiguration(const std::string& body);

}  // namespace tamarindshift::testing

#include "tests/platform/platform_configuration.hpp"

#include <algorithm>
#include <set>

#include <nlohmann/json.hpp>

namespace tamarindshift::testing {

using Json = nlohmann::json;

const PlatformRoute* PlatformConfiguration::route(const std::string& hostName) const {
  auto found = std::find_if(routes.begin(), routes.end(), [&](const auto& route) {
    return route.hostName == hostName;
  });
  return found == routes.end() ? nullptr : &*found;
}

bool PlatformConfiguration::valid() const {
  std::set<std::string> known;
  std::set<std::string> hosts;
  for (const auto& service : services) known.insert(service.name);
  return std::all_of(routes.begin(), routes.end(), [&](const auto& route) {
    return known.contains(route.targetService) && hosts.insert(route.hostName).second && route.guard.count() > 0;
  });
}

std::string configurationJson(const PlatformConfiguration& configuration) {
  Json routes = Json::array();
  for (const auto& route : configuration.routes) {
    Json json{{"name", route.name},
              {"hostName", route.hostName},
              {"pathPrefix", "/"},
              {"routeClass", wireText(route.routeClass)},
              {"guardMs", route.guard.count()},
              {"targetMs", route.target.count()},
              {"precedence", route.precedence},
              {"targetService", route.targetService},
              {"attemptLimit", 2}};
    if (route.routeClass != RouteClass::primary) json["stalenessMs"] = route.staleness.count();
    routes.push_back(std::move(json));
  }
  Json services = Json::array();
  for (const auto& service : configuration.services)
    services.push_back(Json{{"name", service.name},
                            {"healthPath", "/health"},
                            {"trunkLimit", service.trunkLimit},
                            {"protocol", "h1"},
                            {"tls", false},
                            {"syncReplicas", service.syncReplicas}});
  Json limits{{"headerBytes", 16384},
              {"bodyBytes", 262144},
              {"headerGuardMs", 3000},
              {"idleGuardMs", 15000},
              {"txIdleMs", configuration.txIdle.count()}};
  return Json{{"revision", configuration.revision}, {"routeTable", routes}, {"serviceTable", services}, {"limits", limits}}.dump();
}

std::optional<PlatformConfiguration> parseConfiguration(const std::string& body) {
  try {
    auto json = Json::parse(body);
    PlatformConfiguration configuration;
    configuration.revision = json.at("revision").get<std::uint64_t>();
    configuration.txIdle = std::chrono::milliseconds{json.at("limits").at("txIdleMs").get<std::int64_t>()};
    for (const auto& each : json.at("routeTable")) {
      PlatformRoute route;
      route.name = each.at("name").get<std::string>();
      route.hostName = each.at("hostName").get<std::string>();
      auto routeClass = parseRouteClass(each.at("routeClass").get<std::string>());
      if (!routeClass) return std::nullopt;
      route.routeClass = *routeClass;
      route.targetService = each.at("targetService").get<std::string>();
      route.guard = std::chrono::milliseconds{each.at("guardMs").get<std::int64_t>()};
      route.target = std::chrono::milliseconds{each.at("targetMs").get<std::int64_t>()};
      route.precedence = each.at("precedence").get<unsigned>();
      route.staleness = std::chrono::milliseconds{each.value("stalenessMs", std::int64_t{0})};
      configuration.routes.push_back(std::move(route));
    }
    for (const auto& each : json.at("serviceTable"))
      configuration.services.push_back(PlatformService{each.at("name").get<std::string>(), each.at("trunkLimit").get<unsigned>(),
                                                       each.at("syncReplicas").get<unsigned>()});
    return configuration;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace tamarindshift::testing

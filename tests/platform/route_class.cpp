#include "tests/platform/route_class.hpp"

namespace tamarindshift::testing {

std::string wireText(RouteClass routeClass) {
  switch (routeClass) {
    case RouteClass::primary:
      return "primary";
    case RouteClass::boundedStaleness:
      return "bounded_staleness";
    default:
      return "in_house";
  }
}

std::optional<RouteClass> parseRouteClass(const std::string& text) {
  for (auto each : {RouteClass::primary, RouteClass::boundedStaleness, RouteClass::inHouse})
    if (wireText(each) == text) return each;
  return std::nullopt;
}

}  // namespace tamarindshift::testing

#pragma once

#include <optional>
#include <string>

namespace tamarindshift::testing {

enum class RouteClass { primary, boundedStaleness, inHouse };

std::string wireText(RouteClass routeClass);
std::optional<RouteClass> parseRouteClass(const std::string& text);

}  // namespace tamarindshift::testing

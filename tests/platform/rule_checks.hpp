#pragma once

#include "tests/platform/broken_rule.hpp"
#include "tests/platform/platform_history.hpp"

namespace tamarindshift::testing {

std::vector<BrokenRule> checkRules(const PlatformHistory& history);

}  // namespace tamarindshift::testing

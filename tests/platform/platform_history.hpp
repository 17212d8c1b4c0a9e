#pragma once

#include "tests/platform/client_history.hpp"
#include "tests/platform/operator_history.hpp"
#include "tests/platform/platform_bounds.hpp"
#include "tests/platform/promotion_call.hpp"
#include "tests/platform/service_history.hpp"
#include "tests/platform/trouble_history.hpp"

namespace tamarindshift::testing {

// what clients, databases, operators and the platform saw of a day
struct PlatformHistory {
  PlatformBounds bounds;
  ClientHistory clients;
  ServiceHistory services;
  OperatorHistory operators;
  std::vector<PromotionCall> promotions;
  TroubleHistory troubles;
  // when all machines were back after the closing fault
  std::optional<Instant> closingFault;
  std::optional<Instant> backAt;
};

}  // namespace tamarindshift::testing

#pragma once

#include <cstdint>
#include <string>

namespace tamarindshift {

/// `refused`: the request was not taken and will have no effect. `unknown`: it may take effect later or has already done so.
enum class OrderStatus { green, refused, unknown };

/// How a request to `ReplicationEngine::order` ended.
struct OrderOutcome {
  OrderStatus status = OrderStatus::unknown;
  /// Place in the green order; only with `green`.
  std::uint64_t position = 0;
  /// What the application returned; only with `green`.
  std::string reply;
};

}  // namespace tamarindshift

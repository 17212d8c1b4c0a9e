#pragma once

#include <cstdint>
#include <string>

namespace tamarindshift {

enum class OrderStatus { green, refused, unknown };

struct OrderOutcome {
  OrderStatus status = OrderStatus::unknown;
  std::uint64_t position = 0;
  std::string reply;
};

}  // namespace tamarindshift

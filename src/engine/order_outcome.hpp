#pragma once

#include <cstdint>
#include <string>

namespace tamarindshift {

enum class OrderFate { green, refused, unknown };

struct OrderOutcome {
  OrderFate fate = OrderFate::unknown;
  std::uint64_t position = 0;
  std::string reply;
};

}  // namespace tamarindshift

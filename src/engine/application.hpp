#pragma once

#include <cstdint>
#include <string>

#include "engine/action.hpp"

namespace tamarindshift {

class Application {
 public:
  virtual ~Application() = default;
  virtual std::string applyGreen(const Action& action, std::uint64_t position) = 0;
  virtual std::string snapshot() const = 0;
  virtual bool restore(const std::string& snapshot) = 0;
};

}  // namespace tamarindshift

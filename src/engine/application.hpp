#pragma once

#include <cstdint>
#include <string>

#include "engine/action.hpp"

namespace tamarindshift {

/// The state machine that the engine replicates: all members apply the same actions in the same order.
class Application {
 public:
  virtual ~Application() = default;
  /// Applies the action at `position` of the green order and returns the reply to its creator. Must be deterministic.
  virtual std::string applyGreen(const Action& action, std::uint64_t position) = 0;
  virtual std::string snapshot() const = 0;
  /// Replaces the state by a snapshot of another member or of the store; false if it cannot be read.
  virtual bool restore(const std::string& snapshot) = 0;
};

}  // namespace tamarindshift

#pragma once

#include <optional>
#include <string>

#include "base/task.hpp"
#include "base/time.hpp"

namespace tamarindshift::testing {

// what runs in a process of a PlatformWorld
class PlatformProgram {
 public:
  virtual ~PlatformProgram() = default;
  // SIGTERM: done when the process ends of itself
  virtual Task<void> stop() = 0;
  // SIGHUP
  virtual void settingsChanged() {}
  virtual void diskSlowed(Duration) {}
  virtual std::optional<std::string> notReady() const { return std::nullopt; }
};

}  // namespace tamarindshift::testing

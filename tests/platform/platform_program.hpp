#pragma once

#include "base/task.hpp"

namespace tamarindshift::testing {

// what runs in a process of a PlatformWorld
class PlatformProgram {
 public:
  virtual ~PlatformProgram() = default;
  // SIGTERM: done when the process ends of itself
  virtual Task<void> stop() = 0;
  // SIGHUP
  virtual void settingsChanged() {}
};

}  // namespace tamarindshift::testing

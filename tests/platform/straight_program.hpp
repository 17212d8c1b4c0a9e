#pragma once

#include "tests/platform/platform_process.hpp"
#include "tests/platform/straight_pooler.hpp"

namespace tamarindshift::testing {

class StraightProgram : public PlatformProgram {
 public:
  StraightProgram(PlatformProcess& process, StraightKnowledge& knowledge);
  Task<void> stop() override;
  StraightPooler& pooler() { return pooler_; }

 private:
  PlatformProcess& process_;
  StraightPooler pooler_;
  TaskScope scope_;
};

}  // namespace tamarindshift::testing

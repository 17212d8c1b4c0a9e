#include "tests/platform/straight_program.hpp"

namespace tamarindshift::testing {

StraightProgram::StraightProgram(PlatformProcess& process, StraightKnowledge& knowledge)
    : process_(process), pooler_(process.clock(), process.lines(), process.web(), process.world(), knowledge, process.platformApi) {
  const auto& machine = process.machine();
  if (machine.core) {
    process.serve(machine.control(), pooler_);
    if (machine.name == "core-1") scope_.spawn(pooler_.watch());
    return;
  }
  process.listen(machine.front(), pooler_);
  process.serve(machine.readiness(), pooler_);
}

Task<void> StraightProgram::stop() {
  co_await pooler_.drain(process_.shape().bounds.grace / 2);
}

}  // namespace tamarindshift::testing

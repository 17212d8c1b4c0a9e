#include "tests/platform/platform_process.hpp"

namespace tamarindshift::testing {

PlatformProcess::PlatformProcess(World& world, SimulatedNetwork& network, SimulatedLineNetwork& lines, SimulatedWeb& web,
                                 PlatformMachine& machine, const PlatformShape& shape, std::function<void(const std::string&)> sink)
    : world_(world),
      network_(network),
      webServer_(web),
      machine_(machine),
      shape_(shape),
      clock_(world),
      journal_(machine.name, std::move(sink)),
      lines_(lines, clock_, machine.at(1)),
      webLink_(web, clock_, machine.at(1)) {}

void PlatformProcess::serve(const Address& address, DoorKeeper& keeper) {
  served_.push_back(address);
  webServer_.attach(address, keeper, clock_);
}

void PlatformProcess::terminate(std::function<void()> ended) {
  scope_.spawn(stopping(std::move(ended)));
}

Task<void> PlatformProcess::stopping(std::function<void()> ended) {
  co_await program_->stop();
  world_.at(world_.now(), std::move(ended));
}

void PlatformProcess::end(bool silent) {
  scope_.clear();
  if (silent)
    lines_.losePower();
  else
    lines_.kill();
  for (const auto& address : std::exchange(served_, {})) webServer_.detach(address);
  program_.reset();
}

}  // namespace tamarindshift::testing

#pragma once

#include "simulated/simulated_clock.hpp"
#include "simulated/simulated_journal.hpp"
#include "simulated/simulated_line_link.hpp"
#include "simulated/simulated_web.hpp"
#include "tests/platform/platform_machine.hpp"
#include "tests/platform/platform_program.hpp"
#include "tests/platform/platform_shape.hpp"

namespace tamarindshift::testing {

// one life of a process: the seams a program is built on
class PlatformProcess {
 public:
  PlatformProcess(World& world, SimulatedNetwork& network, SimulatedLineNetwork& lines, SimulatedWeb& web, PlatformMachine& machine,
                  const PlatformShape& shape, std::function<void(const std::string&)> sink);
  ~PlatformProcess() { end(false); }
  PlatformProcess(const PlatformProcess&) = delete;

  World& world() { return world_; }
  SimulatedNetwork& network() { return network_; }
  SimulatedClock& clock() { return clock_; }
  SimulatedJournal& journal() { return journal_; }
  SimulatedLineLink& lines() { return lines_; }
  SimulatedWebLink& web() { return webLink_; }
  PlatformMachine& machine() { return machine_; }
  const PlatformMachine& machine() const { return machine_; }
  const PlatformShape& shape() const { return shape_; }
  // the control addresses of core machines, as the settings file names them
  std::vector<Address> seeds;
  Address platformApi;

  bool listen(const Address& address, LineKeeper& keeper) { return lines_.listen(address, keeper); }
  void unlisten(const Address& address) { lines_.unlisten(address); }
  void serve(const Address& address, DoorKeeper& keeper);
  void run(std::unique_ptr<PlatformProgram> program) { program_ = std::move(program); }
  PlatformProgram& program() { return *program_; }
  // SIGTERM; `ended` once the program has stopped of itself
  void terminate(std::function<void()> ended);
  // the program exits without being asked to
  void endItself() { world_.at(world_.now(), endedItself); }
  std::function<void()> endedItself = [] {};
  // silent: the machine lost its power, and far ends hear nothing
  void end(bool silent);

 private:
  Task<void> stopping(std::function<void()> ended);
  World& world_;
  SimulatedNetwork& network_;
  SimulatedWeb& webServer_;
  PlatformMachine& machine_;
  const PlatformShape& shape_;
  SimulatedClock clock_;
  SimulatedJournal journal_;
  SimulatedLineLink lines_;
  SimulatedWebLink webLink_;
  std::vector<Address> served_;
  std::unique_ptr<PlatformProgram> program_;
  TaskScope scope_;
};

}  // namespace tamarindshift::testing

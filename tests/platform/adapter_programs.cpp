#include "tests/platform/adapter_programs.hpp"

#include "tests/platform/adapter_settings.hpp"

namespace tamarindshift::testing {

AccessProgram::AccessProgram(PlatformProcess& process, AdapterWraps wraps)
    : process_(process),
      wraps_(std::move(wraps)),
      link_(process.network(), process.clock(), process.machine().internal()),
      boot_(process.world().below(std::uint64_t{1} << 62)),
      agent_(process.clock(), link_, process.journal(), agentSettings(process), boot_),
      guide_(process.clock(), wrapped<UpdateFeed>(wraps_.feed, agent_, feed_), process.machine().internal(), boot_),
      wireBackEnds_(process.lines(), "pooler"),
      pooler_(process.clock(), guide_, wrapped<BackEndConnector>(wraps_.backEnds, wireBackEnds_, backEnds_), process.journal(),
              poolerSettings(process), boot_,
              [this](NodeReport report) {
                agent_.report(std::move(report));
              }),
      frontDoor_(process.clock(), pooler_),
      readinessDoor_(process.clock(), pooler_, agent_, process.journal()) {
  process.listen(process.machine().front(), frontDoor_);
  process.serve(process.machine().readiness(), readinessDoor_);
}

Task<void> AccessProgram::stop() {
  if (wraps_.stopsAtOnce) co_return;
  pooler_.drain();
  while (!frontDoor_.stopped()) co_await sleep(process_.clock(), 20ms);
}

void AccessProgram::settingsChanged() {
  agent_.updateSettings(agentSettings(process_));
  pooler_.updateSettings(poolerSettings(process_));
}

CoreProgram::CoreProgram(PlatformProcess& process, AdapterWraps wraps)
    : process_(process),
      wraps_(std::move(wraps)),
      link_(process.network(), process.clock(), process.machine().internal()),
      disk_(process.clock(), process.machine().disk, process.shape().diskSync),
      wireDatabases_(process.lines(), process.web(), process.platformApi, process.machine().name),
      replica_(process.clock(), link_, wrapped<StableStore>(wraps_.store, disk_, store_),
               wrapped<DatabaseControl>(wraps_.databases, wireDatabases_, databases_), process.journal(), replicaSettings(process),
               process.world().incarnation()),
      controlDoor_(replica_, process.clock()) {
  if (auto fault = replica_.start()) {
    process.journal().line("did not start: " + *fault);
    process.endItself();
    return;
  }
  process.serve(process.machine().control(), wrapped<DoorKeeper>(wraps_.control, controlDoor_, door_));
  scope_.spawn(watch());
}

Task<void> CoreProgram::watch() {
  while (!replica_.dismissed() || (replica_.draining() && !replica_.stopped())) co_await sleep(process_.clock(), 20ms);
  process_.journal().line("this member was let go while it was away; its state is emptied and it joins anew");
  disk_.rewrite({});
  process_.endItself();
}

Task<void> CoreProgram::stop() {
  if (wraps_.stopsAtOnce) co_return;
  replica_.drain();
  while (!replica_.stopped()) co_await sleep(process_.clock(), 20ms);
}

void CoreProgram::settingsChanged() {
  replica_.updateSettings(replicaSettings(process_));
  wireDatabases_.change(process_.platformApi);
}

std::optional<std::string> CoreProgram::notReady() const {
  if (replica_.engine().state() != EngineState::regPrim) return "not in a primary component";
  return std::nullopt;
}

std::unique_ptr<PlatformProgram> adapterProgram(PlatformProcess& process, AdapterWraps wraps) {
  if (process.machine().core) return std::make_unique<CoreProgram>(process, std::move(wraps));
  return std::make_unique<AccessProgram>(process, std::move(wraps));
}

}  // namespace tamarindshift::testing

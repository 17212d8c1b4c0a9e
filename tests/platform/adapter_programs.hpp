#pragma once

#include "updates/agent_node.hpp"
#include "platform/control_door.hpp"
#include "platform/front_door.hpp"
#include "platform/readiness_door.hpp"
#include "platform/wire_database_control.hpp"
#include "simulated/simulated_link.hpp"
#include "simulated/simulated_store.hpp"
#include "tests/platform/adapter_wraps.hpp"
#include "tests/platform/platform_process.hpp"

namespace tamarindshift::testing {

// the access program as platform/access.cpp puts it together
class AccessProgram : public PlatformProgram {
 public:
  AccessProgram(PlatformProcess& process, AdapterWraps wraps);
  Task<void> stop() override;
  void settingsChanged() override;
  std::optional<std::string> notReady() const override { return pooler_.notReadyReason(); }
  Pooler& pooler() { return pooler_; }
  AgentNode& agent() { return agent_; }
  DoorKeeper& readiness() { return readinessDoor_; }

 private:
  PlatformProcess& process_;
  AdapterWraps wraps_;
  SimulatedLink link_;
  std::uint64_t boot_;
  AgentNode agent_;
  std::unique_ptr<UpdateFeed> feed_;
  ServiceDirectory guide_;
  platform::WireBackEnds wireBackEnds_;
  std::unique_ptr<BackEndConnector> backEnds_;
  Pooler pooler_;
  platform::FrontDoor frontDoor_;
  platform::ReadinessDoor readinessDoor_;
};

// the core program as platform/core.cpp puts it together
class CoreProgram : public PlatformProgram {
 public:
  CoreProgram(PlatformProcess& process, AdapterWraps wraps);
  Task<void> stop() override;
  void settingsChanged() override;
  void diskSlowed(Duration sync) override { disk_.slow(sync); }
  std::optional<std::string> notReady() const override;
  ReplicaNode& replica() { return replica_; }
  DoorKeeper& control() { return controlDoor_; }

 private:
  Task<void> watch();
  PlatformProcess& process_;
  AdapterWraps wraps_;
  SimulatedLink link_;
  SimulatedStore disk_;
  std::unique_ptr<StableStore> store_;
  platform::WireDatabaseControl wireDatabases_;
  std::unique_ptr<DatabaseControl> databases_;
  ReplicaNode replica_;
  platform::ControlDoor controlDoor_;
  std::unique_ptr<DoorKeeper> door_;
  TaskScope scope_;
};

std::unique_ptr<PlatformProgram> adapterProgram(PlatformProcess& process, AdapterWraps wraps = {});

}  // namespace tamarindshift::testing

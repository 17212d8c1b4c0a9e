#pragma once

#include "control/replica_settings.hpp"
#include "updates/agent_settings.hpp"
#include "pooler/pooler_settings.hpp"
#include "tests/platform/platform_process.hpp"

namespace tamarindshift::testing {

// what deploy/access.conf and deploy/core.conf lay out for a process
AgentSettings agentSettings(const PlatformProcess& process);
PoolerSettings poolerSettings(const PlatformProcess& process);
ReplicaSettings replicaSettings(const PlatformProcess& process);

}  // namespace tamarindshift::testing

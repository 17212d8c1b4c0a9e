#include "control/replica_metrics.hpp"

#include "base/metrics_text.hpp"

namespace tamarindshift {

namespace {

void addEngineMetrics(MetricsText& page, const ReplicationEngine& engine) {
  page.gauge("engine_state", "The state of the replication engine.");
  page.sample({{"state", text(engine.state())}}, 1);
  page.gauge("members", "Members of the group, those that are away too.");
  page.sample({}, static_cast<double>(engine.members().size()));
  page.gauge("view_members", "Members of the present view.");
  page.sample({}, static_cast<double>(engine.conf().members.size()));
  page.gauge("green_actions", "Place of the last action whose order is final.");
  page.sample({}, static_cast<double>(engine.greenLine()));
  page.gauge("white_actions", "Place up to which all members have the final order.");
  page.sample({}, static_cast<double>(engine.whiteLine()));
  page.gauge("red_actions", "Actions whose order is not known.");
  page.sample({}, static_cast<double>(engine.redCount()));
  page.gauge("ongoing_actions", "Own actions on their way.");
  page.sample({}, static_cast<double>(engine.ongoingCount()));
  page.gauge("primary_component_index", "Number of the last primary component.");
  page.sample({}, static_cast<double>(engine.primComponent().primIndex));
  page.gauge("disk_refuses", "Whether the disk refuses writes.");
  page.sample({}, engine.diskFault() ? 1 : 0);
}

void addServiceMetrics(MetricsText& page, const ReplicaNode& replica) {
  const auto& services = replica.state().services();
  page.gauge("epoch", "The epoch of the primary of a service.");
  for (const auto& [name, service] : services) page.sample({{"service", name.get()}}, static_cast<double>(service.epoch.get()));
  page.gauge("promoted", "Whether the primary of a service serves.");
  for (const auto& [name, service] : services)
    page.sample({{"service", name.get()}, {"primary", service.primary.get()}}, service.promoted ? 1 : 0);
  page.gauge("recovery_waits", "What the recovery of a service waits for.");
  for (const auto& [name, reason] : replica.duties().waitReasons()) page.sample({{"service", name.get()}, {"reason", reason}}, 1);
}

}  // namespace

std::string replicaMetrics(ReplicaNode& replica, Instant now) {
  MetricsText page;
  addEngineMetrics(page, replica.engine());
  page.gauge("duty_holder", "Whether this member does the duties.");
  page.sample({}, replica.duties().onDuty() ? 1 : 0);
  page.gauge("lease_seconds", "What is left of the lease that this member passes on.");
  auto until = replica.leaseUntil(fleetTopic);
  page.sample({}, until ? std::chrono::duration<double>(*until - now).count() : 0);
  page.gauge("configuration_version", "The version of the configuration that is held.");
  page.sample({}, replica.state().plan() ? static_cast<double>(replica.state().plan()->mark.get()) : 0);
  page.gauge("nodes", "Access nodes in the log.");
  page.sample({}, static_cast<double>(replica.state().nodes().size()));
  addServiceMetrics(page, replica);
  page.journal(replica.journal());
  return page.text();
}

}  // namespace tamarindshift

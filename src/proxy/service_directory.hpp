// The services and routes that a node knows from updates, and under which leases it may act on them.
#pragma once

#include "control/published_entries.hpp"
#include "control/ration.hpp"

#include "updates/update_feed.hpp"

namespace tamarindshift {

/// What a node knows of the plan, the primaries, the databases and its own shares.
///
/// `refresh` reads what changed in the feed since the last call; everything else answers from what it read. References and pointers are
/// valid until the next `refresh`.
class ServiceDirectory {
 public:
  struct ServiceView {
    /// The version of the service's topic.
    std::uint64_t mark = 0;
    /// The version of the plan entries from which `plan` was read.
    std::uint64_t planChangeMark = 0;
    std::optional<PublishedServicePlan> plan;
    PublishedPrimary primary;
    std::map<DatabaseName, PublishedDatabase> databases;
    /// Drained databases, with the time at which this node learned of it.
    std::map<DatabaseName, Instant> drained;
    std::map<DatabaseName, Ration> rations;
    /// The share that the updates grant to this node's address.
    PublishedShare granted;
    /// `granted` if this process is the one that is registered, or else empty.
    PublishedShare share;
    /// The end of the service's lease when its updates were last read.
    std::optional<Instant> leaseWhenRead;
  };
  /// A route and its service; if it can't be used, `kind` and `service` are null and `refusal` says why.
  struct KindView {
    const PlanKind* kind = nullptr;
    const ServiceView* service = nullptr;
    std::string refusal;
    /// Whether the route may use the database.
    bool selects(const DatabaseName& database) const;
  };

  ServiceDirectory(Clock& clock, UpdateFeed& feed, Address node, std::uint64_t boot)
      : clock_(clock), feed_(feed), node_(std::move(node)), boot_(boot) {}

  KindView kind(const KindName& name) const;
  const ServiceView* service(const ServiceName& name) const;
  const std::map<ServiceName, ServiceView>& services() const { return services_; }
  /// Why this node has no share of a service, as far as its updates show; no value if it has one.
  std::optional<std::string> missingShareReason(const ServiceName& name) const;
  /// Whether there is a lease for both the service and the fleet's topic, for the updates as they were read. A lease that came with
  /// newer updates counts from the next `refresh` on.
  bool leased(const ServiceName& name) const;
  /// The earlier end of the leases of the service and of the fleet's topic.
  std::optional<Instant> leaseUntil(const ServiceName& name) const;
  std::vector<DatabaseReport> databaseReports(const ServiceName& name) const;
  PlanVersion planMark() const { return fleetPlan_.mark; }
  const std::map<std::string, std::uint64_t>& limits() const { return fleetPlan_.limits; }
  /// Whether the control plane has this node drained.
  bool draining() const;
  /// Whether every route of the newest plan known here has arrived in its service's topic, under a lease.
  bool routesKnown() const;
  /// Whether the plan of every service has arrived, under a lease.
  bool servicesKnown() const;
  /// Whether there is a lease for the fleet's topic.
  bool anyLease() const { return feed_.leaseUntil(fleetTopic).has_value(); }
  /// Reads the changes since the last call.
  void refresh();
  Gate& changed() { return feed_.changed(); }
  Instant coreRepliedAt() const { return feed_.coreRepliedAt(); }

 private:
  void readFleet();
  /// The end of a topic's lease as far as it covers what was read of the topic, at version `readMark` and under `leaseWhenRead`.
  std::optional<Instant> coveringLease(const Topic& topic, std::uint64_t readMark, std::optional<Instant> leaseWhenRead) const;
  /// Whether this process, and not an earlier one at the same address, is registered, and the service's updates are as new as that.
  bool registered(const ServiceName& name) const;
  void readService(const ServiceName& name, const UpdateStore::TopicState& entry);

  Clock& clock_;
  UpdateFeed& feed_;
  Address node_;
  std::uint64_t boot_;
  std::uint64_t fleetMark_ = 0;
  std::uint64_t fleetPlanChangeMark_ = 0;
  PublishedFleetPlan fleetPlan_;
  PublishedNode nodeState_;
  bool nodeRegistered_ = false;
  std::optional<Instant> fleetLeaseWhenRead_;
  std::map<ServiceName, ServiceView> services_;
};

}  // namespace tamarindshift

#pragma once

#include "control/published_entries.hpp"
#include "control/ration.hpp"

#include "updates/update_feed.hpp"

namespace tamarindshift {

class ServiceDirectory {
 public:
  struct ServiceView {
    std::uint64_t mark = 0;
    // the mark of the news that the plan was read from
    std::uint64_t planChangeMark = 0;
    std::optional<PublishedServicePlan> plan;
    PublishedPrimary primary;
    std::map<DatabaseName, PublishedDatabase> databases;
    std::map<DatabaseName, Instant> drained;
    std::map<DatabaseName, Ration> rations;
    PublishedShare granted;
    PublishedShare share;
  };
  struct KindView {
    const PlanKind* kind = nullptr;
    const ServiceView* service = nullptr;
    std::string refusal;
    bool selects(const DatabaseName& database) const;
  };

  ServiceDirectory(Clock& clock, UpdateFeed& feed, Address node, std::uint64_t boot)
      : clock_(clock), feed_(feed), node_(std::move(node)), boot_(boot) {}

  KindView kind(const KindName& name) const;
  const ServiceView* service(const ServiceName& name) const;
  const std::map<ServiceName, ServiceView>& services() const { return services_; }
  // why this node holds no share of a service, as far as the news tell
  std::optional<std::string> missingShareReason(const ServiceName& name) const;
  bool leased(const ServiceName& name) const;
  std::optional<Instant> leaseUntil(const ServiceName& name) const;
  std::vector<DatabaseReport> databaseReports(const ServiceName& name) const;
  PlanVersion planMark() const { return fleetPlan_.mark; }
  const std::map<std::string, std::uint64_t>& limits() const { return fleetPlan_.limits; }
  bool draining() const;
  // whether every route of the newest plan that is known here is known here too, under a lease
  bool routesKnown() const;
  // whether there is news of every service, under a lease
  bool servicesKnown() const;
  bool anyLease() const { return feed_.leaseUntil(fleetTopic).has_value(); }
  void refresh();
  Gate& changed() { return feed_.changed(); }
  Instant coreRepliedAt() const { return feed_.coreRepliedAt(); }

 private:
  void readFleet();
  bool registered(const ServiceName& name) const;
  void readService(const ServiceName& name, const UpdateStore::TopicState& entry);

  Clock& clock_;
  UpdateFeed& feed_;
  Address node_;
  std::uint64_t boot_;
  std::uint64_t fleetMark_ = 0;
  std::uint64_t fleetPlanChangeMark_ = 0;
  PublishedFleetPlan fleetPlan_;
  PublishedNode node_news_;
  bool nodeKnown_ = false;
  std::map<ServiceName, ServiceView> services_;
};

}  // namespace tamarindshift

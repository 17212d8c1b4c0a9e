#pragma once

#include <memory>

#include "base/timings.hpp"
#include "control/service_news.hpp"
#include "news/follower.hpp"

namespace tamarindshift {

class Guide {
 public:
  struct ServiceView {
    std::uint64_t mark = 0;
    std::optional<ServiceNews> plan;
    PrimaryNews primary;
    std::map<DatabaseName, Instant> drained;
    ShareNews share;
  };
  struct KindView {
    const PlanKind* kind = nullptr;
    const ServiceView* service = nullptr;
    std::string refusal;
  };

  Guide(Clock& clock, Desk& desk, Journal& journal, const Timings& timings, Address agent, Address node);

  KindView kind(const KindName& name) const;
  const ServiceView* service(const ServiceName& name) const;
  const std::map<ServiceName, ServiceView>& services() const { return services_; }
  bool leased(const ServiceName& name) const;
  std::optional<Instant> leaseUntil(const ServiceName& name) const;
  std::vector<DatabaseSign> signs(const ServiceName& name) const;
  PlanMark planMark() const { return fleetPlan_.mark; }
  bool draining() const;
  bool anyLease() const { return fleet_->leaseUntil().has_value(); }
  void refresh();
  Gate& renewed() { return fleet_->renewed(); }

 private:
  void readFleet();
  void readService(const ServiceName& name, const NewsBoard::Entry& entry);

  Clock& clock_;
  Desk& desk_;
  Journal& journal_;
  const Timings& timings_;
  Address agent_;
  Address node_;
  NewsBoard board_;
  std::unique_ptr<Follower> fleet_;
  std::map<ServiceName, std::unique_ptr<Follower>> followers_;
  std::uint64_t fleetMark_ = 0;
  FleetPlanNews fleetPlan_;
  NodeNews node_news_;
  bool nodeKnown_ = false;
  std::map<ServiceName, ServiceView> services_;
};

}  // namespace tamarindshift

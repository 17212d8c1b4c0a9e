#pragma once

#include <memory>

#include <nlohmann/json_fwd.hpp>

#include "control/report_messages.hpp"
#include "edge/door.hpp"
#include "updates/agent_settings.hpp"
#include "updates/update_server.hpp"
#include "updates/update_follower.hpp"
#include "updates/report_tracker.hpp"
#include "updates/zone_relays.hpp"

namespace tamarindshift {

class AgentNode : public UpdateFeed, public DoorKeeper {
 public:
  AgentNode(Clock& clock, PeerLink& link, Journal& journal, AgentSettings settings, std::uint64_t boot);

  const UpdateStore& updates() const override { return news_.updates(); }
  Gate& changed() override { return news_.changed(); }
  Instant coreRepliedAt() const override { return news_.coreRepliedAt(); }
  std::optional<Instant> leaseUntil(const Topic& topic) override { return news_.leaseUntil(topic); }
  std::vector<DatabaseReport> databaseReports(const Topic& topic) override { return news_.databaseReports(topic); }
  std::uint64_t position(const Topic& topic) override { return news_.position(topic); }
  bool sourceResponsive(const Topic& topic) override { return news_.sourceResponsive(topic); }
  void report(NodeReport report);
  Task<DoorReply> serve(DoorRequest request) override;
  void gone(ConnectionId) override {}
  std::vector<Address> sources(const Topic& topic) const;
  nlohmann::json status() const;
  void change(AgentSettings settings);
  void drain();
  bool stopped() const;

 private:
  const ZoneRelays& homes() const;
  bool isHome() const { return homes().isRelay(settings_.address); }
  Task<void> peers();
  Task<DoorReply> askReplicas(std::string subject, std::string body);

  Clock& clock_;
  Journal& journal_;
  AgentSettings settings_;
  std::set<Address> replicas_;
  Desk desk_;
  mutable ZoneRelays homes_;
  mutable std::uint64_t homesAt_ = 0;
  UpdateFollower news_;
  UpdateServer newsDesk_;
  ReportTracker reports_{20s};
  Instant reportedAt_{};
  std::optional<Instant> drainingSince_;
  TaskScope scope_;
};

}  // namespace tamarindshift

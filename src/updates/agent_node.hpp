// The agent of a machine: follows the control plane for the processes on it and sends their reports and heartbeats on.
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

/// The node of an agent.
///
/// It follows the replicas, or relays of its zone, and serves the updates to the local proxy and to other agents. It sends the proxy's
/// reports and the heartbeats of databases to all replicas.
class AgentNode : public UpdateFeed, public DoorKeeper {
 public:
  AgentNode(Clock& clock, PeerLink& link, Journal& journal, AgentSettings settings, std::uint64_t boot);

  const UpdateStore& updates() const override { return follower_.updates(); }
  Gate& changed() override { return follower_.changed(); }
  Instant coreRepliedAt() const override { return follower_.coreRepliedAt(); }
  std::optional<Instant> leaseUntil(const Topic& topic) override { return follower_.leaseUntil(topic); }
  std::vector<DatabaseReport> databaseReports(const Topic& topic) override { return follower_.databaseReports(topic); }
  std::uint64_t position(const Topic& topic) override { return follower_.position(topic); }
  bool sourceResponsive(const Topic& topic) override { return follower_.sourceResponsive(topic); }
  /// Sends a report of the local proxy to all replicas, with this agent as the node.
  void report(NodeReport report);
  Task<DoorReply> serve(DoorRequest request) override;
  void gone(ConnectionId) override {}
  /// Where to follow a topic, in order of preference: the relays of the zone, then the replicas.
  std::vector<Address> sources(const Topic& topic) const;
  nlohmann::json status() const;
  void updateSettings(AgentSettings settings);
  /// Makes `/ready` fail; reports and updates go on until `stopped`.
  void drain();
  /// Whether a drained agent may end: its proxy sends no reports any more, or the time for it is over.
  bool stopped() const;

 private:
  const ZoneRelays& relays() const;
  bool isRelay() const { return relays().isRelay(settings_.address); }
  /// Asks one replica after the other for the list of all replicas.
  Task<void> refreshReplicas();
  /// Asks one replica after the other until one of them takes the request.
  Task<DoorReply> askReplicas(std::string subject, std::string body);

  Clock& clock_;
  Journal& journal_;
  AgentSettings settings_;
  /// The seeds and the replicas that they name.
  std::set<Address> replicas_;
  Desk desk_;
  mutable ZoneRelays relays_;
  /// The version of the fleet's topic from which `relays_` was computed.
  mutable std::uint64_t relaysMark_ = 0;
  UpdateFollower follower_;
  UpdateServer updateServer_;
  ReportTracker reports_{20s};
  Instant lastReportAt_{};
  std::optional<Instant> drainingSince_;
  TaskScope scope_;
};

}  // namespace tamarindshift

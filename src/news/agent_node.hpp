#pragma once

#include <memory>

#include "control/access_messages.hpp"
#include "edge/door.hpp"
#include "news/agent_settings.hpp"
#include "news/news_desk.hpp"
#include "news/news_follower.hpp"

namespace tamarindshift {

class AgentNode : public NewsFeed, public DoorKeeper {
 public:
  AgentNode(Clock& clock, PeerLink& link, Journal& journal, AgentSettings settings);

  const NewsBoard& board() const override { return news_.board(); }
  Gate& changed() override { return news_.changed(); }
  Instant coreRepliedAt() const override { return news_.coreRepliedAt(); }
  std::optional<Instant> leaseUntil(const Topic& topic) override { return news_.leaseUntil(topic); }
  std::vector<DatabaseSign> signs(const Topic& topic) override { return news_.signs(topic); }
  std::uint64_t position(const Topic& topic) override { return news_.position(topic); }
  void report(NodeReport report);
  Task<DoorReply> serve(DoorRequest request) override;
  void gone(ConnectionId) override {}
  std::vector<Address> sources(const Topic& topic) const;
  void change(AgentSettings settings);
  void drain();
  bool stopped() const;

 private:
  static constexpr std::size_t homesInZone = 2;
  const std::vector<Address>& zoneAgents() const;
  bool isHome() const;
  Task<void> peers();
  Task<DoorReply> askReplicas(std::string subject, std::string body);
  DoorReply status() const;

  Clock& clock_;
  Journal& journal_;
  AgentSettings settings_;
  std::set<Address> replicas_;
  Desk desk_;
  mutable std::vector<Address> zoneAgents_;
  mutable std::uint64_t zoneAgentsAt_ = 0;
  NewsFollower news_;
  NewsDesk newsDesk_;
  Instant reportedAt_{};
  std::optional<Instant> drainingSince_;
  TaskScope scope_;
};

}  // namespace tamarindshift

#pragma once

#include <memory>

#include <nlohmann/json_fwd.hpp>

#include "control/report_messages.hpp"
#include "edge/door.hpp"
#include "news/agent_settings.hpp"
#include "news/news_desk.hpp"
#include "news/news_follower.hpp"
#include "news/report_book.hpp"
#include "news/zone_homes.hpp"

namespace tamarindshift {

class AgentNode : public NewsFeed, public DoorKeeper {
 public:
  AgentNode(Clock& clock, PeerLink& link, Journal& journal, AgentSettings settings, std::uint64_t boot);

  const NewsBoard& board() const override { return news_.board(); }
  Gate& changed() override { return news_.changed(); }
  Instant coreRepliedAt() const override { return news_.coreRepliedAt(); }
  std::optional<Instant> leaseUntil(const Topic& topic) override { return news_.leaseUntil(topic); }
  std::vector<DatabaseSign> signs(const Topic& topic) override { return news_.signs(topic); }
  std::uint64_t position(const Topic& topic) override { return news_.position(topic); }
  bool answered(const Topic& topic) override { return news_.answered(topic); }
  void report(NodeReport report);
  Task<DoorReply> serve(DoorRequest request) override;
  void gone(ConnectionId) override {}
  std::vector<Address> sources(const Topic& topic) const;
  nlohmann::json status() const;
  void change(AgentSettings settings);
  void drain();
  bool stopped() const;

 private:
  const ZoneHomes& homes() const;
  bool isHome() const { return homes().home(settings_.address); }
  Task<void> peers();
  Task<DoorReply> askReplicas(std::string subject, std::string body);

  Clock& clock_;
  Journal& journal_;
  AgentSettings settings_;
  std::set<Address> replicas_;
  Desk desk_;
  mutable ZoneHomes homes_;
  mutable std::uint64_t homesAt_ = 0;
  NewsFollower news_;
  NewsDesk newsDesk_;
  ReportBook reports_{20s};
  Instant reportedAt_{};
  std::optional<Instant> drainingSince_;
  TaskScope scope_;
};

}  // namespace tamarindshift

#pragma once

#include <memory>

#include "control/access_messages.hpp"
#include "edge/door.hpp"
#include "news/agent_settings.hpp"
#include "news/follower.hpp"
#include "news/news_desk.hpp"

namespace tamarindshift {

class AgentNode : public NewsSource, public DoorKeeper {
 public:
  AgentNode(Clock& clock, PartnerLink& link, Journal& journal, AgentSettings settings);

  std::optional<Instant> leaseUntil(const Topic& topic) override;
  std::vector<DatabaseSign> signs(const Topic& topic) override;
  Task<DoorReply> serve(DoorRequest request) override;
  void gone(ConnectionId) override {}
  std::vector<Address> sources(const Topic& topic) const;
  void change(AgentSettings settings);
  void drain();
  bool stopped() const;

 private:
  Task<void> partners();
  Task<void> keepTopics();
  Task<DoorReply> askReplicas(std::string subject, std::string body);
  void relay(NodeReport report);
  DoorReply status() const;
  Follower& follower(const Topic& topic);

  Clock& clock_;
  Journal& journal_;
  AgentSettings settings_;
  std::set<Address> replicas_;
  Desk desk_;
  NewsBoard board_;
  std::map<Topic, std::unique_ptr<Follower>> followers_;
  NewsDesk news_;
  Instant reportedAt_{};
  std::optional<Instant> drainingSince_;
  TaskScope scope_;
};

}  // namespace tamarindshift

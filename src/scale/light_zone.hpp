#pragma once

#include "control/access_messages.hpp"
#include "edge/door.hpp"
#include "news/follower.hpp"
#include "news/news_desk.hpp"
#include "real/tcp_link.hpp"
#include "scale/metered_link.hpp"
#include "scale/scale_addresses.hpp"

namespace tamarindshift {

// all nodes of one zone that are not real: they share one board, ask as homes, reply, report and relay beats like agents,
// but hold no sessions and do not follow each other; so that replicas and a real node see a zone of full size
class LightZone : public NewsSource {
 public:
  LightZone(boost::asio::io_context& context, Clock& clock, Journal& journal, const ScaleAddresses& addresses, std::size_t zone, std::size_t real);
  std::optional<std::string> listen();
  std::optional<Instant> leaseUntil(const Topic& topic) override;
  std::vector<DatabaseSign> signs(const Topic& topic) override;

  std::size_t size() const { return nodes_.size(); }
  bool leased();
  bool follows(PlanMark mark);
  bool servedUnder(const ServiceName& service, Epoch epoch);
  Traffic traffic() const;
  std::vector<std::pair<Address, DoorKeeper*>> doors();

 private:
  struct Node : DoorKeeper {
    Node(LightZone& zone, boost::asio::io_context& context, std::size_t index);
    Task<DoorReply> serve(DoorRequest request) override;
    void gone(ConnectionId) override {}
    Task<void> report();
    void tellAll(const std::string& subject, const std::string& bytes);
    LightZone& zone;
    std::size_t index;
    Address address;
    TcpLink link;
    Traffic traffic;
    MeteredLink metered;
    Desk desk;
    NewsDesk news;
    std::vector<Address> replicas;
    std::map<Topic, std::unique_ptr<Follower>> followers;
  };

  Task<void> keepTopics();
  void follow(const Topic& topic);
  std::vector<Follower*> followers(const Topic& topic);
  template <class News>
  std::optional<News> news(const Topic& topic, const std::string& key) const;

  Clock& clock_;
  Journal& journal_;
  const ScaleAddresses& addresses_;
  std::size_t zone_;
  Timings timings_;
  NewsBoard board_;
  std::vector<Address> agents_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::set<Topic> topics_;
  TaskScope scope_;
};

}  // namespace tamarindshift

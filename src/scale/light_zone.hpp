#pragma once

#include "control/report_messages.hpp"
#include "edge/door.hpp"
#include "updates/update_server.hpp"
#include "updates/update_follower.hpp"
#include "updates/report_tracker.hpp"
#include "updates/zone_relays.hpp"
#include "real/tcp_link.hpp"
#include "scale/metered_link.hpp"
#include "scale/scale_addresses.hpp"

namespace tamarindshift {

// all nodes of one zone that are not real: homes follow like agents, other nodes follow only if a home is real and else
// share the news of a home; all reply, report and relay heartbeats like agents and hold no sessions, so that replicas and a
// real node see a zone of full size
class LightZone {
 public:
  LightZone(boost::asio::io_context& context, Clock& clock, Journal& journal, const ScaleAddresses& addresses, std::size_t zone,
            std::size_t real);
  std::optional<std::string> listen();

  std::size_t size() const { return nodes_.size(); }
  bool leased();
  bool follows(PlanVersion mark);
  bool servedUnder(const ServiceName& service, Epoch epoch);
  Traffic traffic() const;
  std::vector<std::pair<Address, DoorKeeper*>> doors();

 private:
  struct Node : DoorKeeper {
    Node(LightZone& zone, boost::asio::io_context& context, std::size_t index, bool follows);
    std::vector<Address> sources(const Topic& topic) const;
    Task<DoorReply> serve(DoorRequest request) override;
    void gone(ConnectionId) override {}
    Task<void> report();
    void tellAll(const std::string& subject, const std::string& bytes);
    void tell(const Address& replica) { desk.tell(replica, "report", book.nextMessage(replica, zone.clock_.now())); }
    LightZone& zone;
    std::size_t index;
    Address address;
    TcpLink link;
    Traffic traffic;
    MeteredLink metered;
    Desk desk;
    std::vector<Address> replicas;
    ReportTracker book{20s};
    std::unique_ptr<UpdateFollower> follower;
    std::unique_ptr<UpdateServer> news;
  };

  Task<void> keepServices();
  std::map<ServiceName, ServiceReport> services() const;
  template <class News>
  std::optional<News> news(const Topic& topic, const std::string& key) const;
  PlanVersion planMark(const Topic& topic) const;

  Clock& clock_;
  Journal& journal_;
  const ScaleAddresses& addresses_;
  std::size_t zone_;
  Timings timings_;
  ZoneRelays homes_;
  std::vector<std::unique_ptr<Node>> nodes_;
  UpdateFollower* shared_ = nullptr;
  std::map<ServiceName, ServiceReport> services_;
  std::string toldServices_;
  std::uint64_t changesOfServices_ = 0;
  TaskScope scope_;
};

}  // namespace tamarindshift

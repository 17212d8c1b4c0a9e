#pragma once

#include "base/gate.hpp"
#include "base/task_scope.hpp"
#include "edge/door.hpp"
#include "edge/web_link.hpp"
#include "simulated/simulated_network.hpp"

namespace tamarindshift {

struct WebFaults {
  unsigned loseRequest = 0;
  unsigned loseReply = 0;
  unsigned resetBefore = 0;
  unsigned twice = 0;
  unsigned alter = 0;
  unsigned cross = 0;
  unsigned insert = 0;
};

class SimulatedWeb {
 public:
  explicit SimulatedWeb(SimulatedNetwork& network) : network_(network) {}
  void attach(const Address& address, DoorKeeper& keeper, Clock& clock);
  void detach(const Address& address);
  void keepAlive(const Address& to, Duration keeps, const std::function<bool(const Address&)>& answers);
  void opens(const Address& address, Duration cost) { opens_[address] = cost; }
  void faults(const Address& address, WebFaults faults) { faults_[address] = faults; }

 private:
  friend class SimulatedWebLink;
  friend class SimulatedWebConnection;

  struct Exchange {
    std::optional<WebOutcome> outcome;
    Gate gate;
  };
  struct Line {
    ConnectionId id;
    Address from;
    Address to;
    bool open = true;
    bool told = false;
    Instant deadSince = Instant::max();
    std::shared_ptr<Exchange> underway;
  };
  struct Host {
    DoorKeeper* keeper = nullptr;
    Clock* clock = nullptr;
    std::set<std::shared_ptr<Line>> lines;
    std::unique_ptr<TaskScope> scope = std::make_unique<TaskScope>();
  };

  void handOver(const std::shared_ptr<Line>& line, const std::shared_ptr<Exchange>& exchange, DoorRequest request);
  Task<void> serve(Address to, std::shared_ptr<Line> line, std::shared_ptr<Exchange> exchange, DoorRequest request);
  void end(const std::shared_ptr<Line>& line);
  void tell(const std::shared_ptr<Line>& line);
  bool unlucky(unsigned perThousand) { return perThousand > 0 && network_.world().chance(perThousand); }

  SimulatedNetwork& network_;
  std::map<Address, Host> hosts_;
  std::map<Address, WebFaults> faults_;
  std::map<Address, Duration> opens_;
  std::uint64_t last_ = 0;
};

class SimulatedWebLink : public WebLink {
 public:
  SimulatedWebLink(SimulatedWeb& web, Clock& clock, Address from) : web_(web), clock_(clock), from_(std::move(from)) {}
  Task<std::unique_ptr<WebConnection>> open(Address address, Instant deadline) override;

 private:
  SimulatedWeb& web_;
  Clock& clock_;
  Address from_;
};

}  // namespace tamarindshift

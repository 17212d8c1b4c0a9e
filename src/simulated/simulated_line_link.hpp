#pragma once

#include <vector>

#include "base/task_scope.hpp"
#include "edge/line_link.hpp"
#include "simulated/simulated_line_network.hpp"

namespace tamarindshift {

// one for each simulated process: its connections and the tasks serving them end with it
class SimulatedLineLink : public LineLink {
 public:
  SimulatedLineLink(SimulatedLineNetwork& lines, Clock& clock, Address from);
  ~SimulatedLineLink() override;
  Task<std::unique_ptr<LineConnection>> open(Address address, Instant deadline) override;
  bool listen(const Address& address, LineKeeper& keeper);
  // what is being served goes on
  void unlisten(const Address& address);
  // the process ends: far ends see a close
  void kill();
  // the machine stops: far ends hear nothing
  void losePower();
  // a connection whose far end is dark for so long is dropped
  void dropDarkAfter(Duration dark);
  std::size_t connections();

 private:
  friend class SimulatedLineNetwork;
  struct Held {
    std::shared_ptr<SimulatedLine> line;
    std::size_t end = 0;
  };
  void accept(const std::shared_ptr<SimulatedLine>& line, LineKeeper& keeper, const Address& address);
  std::vector<Held> current();
  void hold(const std::shared_ptr<SimulatedLine>& line, std::size_t end);
  void watch();
  void stopListening();

  SimulatedLineNetwork& lines_;
  Clock& clock_;
  Address from_;
  std::map<Address, LineKeeper*> keepers_;
  std::vector<Held> held_;
  std::size_t sweepAt_ = 16;
  Duration dark_{};
  bool watching_ = false;
  bool ended_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  TaskScope scope_;
};

}  // namespace tamarindshift

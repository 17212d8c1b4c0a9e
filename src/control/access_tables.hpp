#pragma once

#include "control/access_messages.hpp"
#include "updates/update_messages.hpp"

namespace tamarindshift {

class AccessTables {
 public:
  struct Node {
    NodeReport report;
    Instant heardAt{};
  };
  struct Database {
    DatabaseHeartbeat heartbeat;
    Instant heardAt{};
  };

  // whether the report goes on from one that is not known here
  bool misses(const NodeReport& report) const;
  // true if the report tells another epoch, suspect or drain than the last one did
  bool noteReport(NodeReport report, Instant now);
  bool older(const DatabaseHeartbeat& heartbeat, Instant now, Duration silence) const;
  bool noteHeartbeat(const DatabaseHeartbeat& heartbeat, Instant now, Duration silence);
  const std::map<Address, Node>& nodes() const { return nodes_; }
  const Database* database(const ServiceName& service, const DatabaseName& database) const;
  std::vector<DatabaseReport> signs(const ServiceName& service, Instant now) const;
  Place acknowledged(const ServiceName& service) const;
  void forgetNodesBefore(Instant before);
  Instant lastLost() const { return lastLost_; }
  // rises when a report says something else of the shares of a service that are wanted or followed
  std::uint64_t sharesInputs(const ServiceName& service) const;

 private:
  static constexpr Duration numbersRise = 3s;
  static constexpr Duration databasesKept = 600s;
  std::map<Address, Node> nodes_;
  std::map<std::pair<ServiceName, DatabaseName>, Database> databases_;
  std::map<ServiceName, Place> acknowledged_;
  std::map<ServiceName, std::uint64_t> sharesInputs_;
  Instant lastLost_{};
};

}  // namespace tamarindshift

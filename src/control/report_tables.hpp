#pragma once

#include "control/report_messages.hpp"
#include "updates/update_messages.hpp"

namespace tamarindshift {

class ReportTables {
 public:
  struct Node {
    NodeReport report;
    Instant lastContact{};
  };
  struct Database {
    DatabaseHeartbeat heartbeat;
    Instant lastContact{};
  };

  // whether the report goes on from one that is not known here
  bool lacksBase(const NodeReport& report) const;
  // true if the report tells another epoch, suspect or drain than the last one did
  bool recordReport(NodeReport report, Instant now);
  bool isOutdated(const DatabaseHeartbeat& heartbeat, Instant now, Duration silence) const;
  bool recordHeartbeat(const DatabaseHeartbeat& heartbeat, Instant now, Duration silence);
  const std::map<Address, Node>& nodes() const { return nodes_; }
  const Database* database(const ServiceName& service, const DatabaseName& database) const;
  std::vector<DatabaseReport> signs(const ServiceName& service, Instant now) const;
  LogPosition acknowledged(const ServiceName& service) const;
  void removeNodesSilentSince(Instant before);
  Instant lastContactOfLostNodes() const { return lastContactOfLostNodes_; }
  // rises when a report says something else of the shares of a service that are wanted or followed
  std::uint64_t shareInputsVersion(const ServiceName& service) const;

 private:
  static constexpr Duration bootlessRestartSilence = 3s;
  static constexpr Duration heartbeatRetention = 600s;
  std::map<Address, Node> nodes_;
  std::map<std::pair<ServiceName, DatabaseName>, Database> databases_;
  std::map<ServiceName, LogPosition> acknowledged_;
  std::map<ServiceName, std::uint64_t> shareInputsVersion_;
  Instant lastContactOfLostNodes_{};
};

}  // namespace tamarindshift

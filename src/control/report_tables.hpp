#pragma once

// Volatile state of a replica: the newest report of each access node and the newest heartbeat of each database.

#include "control/report_messages.hpp"
#include "updates/update_messages.hpp"

namespace tamarindshift {

/// The newest report of each access node and the newest heartbeat of each database, as this replica received them.
/// Not replicated: after a restart it fills again from the next reports and heartbeats.
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

  /// Whether the report is a delta to a report that is not held here; the node is then asked for a full report.
  bool lacksBase(const NodeReport& report) const;
  /// Merges a report. True if a boot, drain state, set of services, epoch, applied position, suspected or strained database
  /// differs from the last report. A delta whose base is missing only counts as a contact.
  bool recordReport(NodeReport report, Instant now);
  /// Whether a newer heartbeat of the database is already held. A heartbeat of a lower boot is accepted again once the
  /// database was silent for longer than `silence`.
  bool isOutdated(const DatabaseHeartbeat& heartbeat, Instant now, Duration silence) const;
  /// Stores a heartbeat; false if it is outdated.
  bool recordHeartbeat(const DatabaseHeartbeat& heartbeat, Instant now, Duration silence);
  const std::map<Address, Node>& nodes() const { return nodes_; }
  /// The newest heartbeat of a database; null if there is none.
  const Database* database(const ServiceName& service, const DatabaseName& database) const;
  /// State of each database of the service with the age of its heartbeat, as subscribers get it.
  std::vector<DatabaseReport> databaseReports(const ServiceName& service, Instant now) const;
  /// Highest log position that any node reported as acknowledged.
  LogPosition acknowledged(const ServiceName& service) const;
  /// Removes nodes whose last contact was earlier than `before`.
  void removeNodesSilentSince(Instant before);
  /// The latest last contact of a node that was removed or restarted; such a node may have acknowledged writes that it did not report.
  Instant lastContactOfLostNodes() const { return lastContactOfLostNodes_; }
  /// Rises when a report changes the connection demand or the applied position of a service.
  std::uint64_t shareInputsVersion(const ServiceName& service) const;

 private:
  // After this silence, heartbeats without a boot number may start again at a lower number: the database restarted.
  static constexpr Duration bootlessRestartSilence = 3s;
  // Discovered databases are dropped after this silence.
  static constexpr Duration heartbeatRetention = 600s;
  std::map<Address, Node> nodes_;
  std::map<std::pair<ServiceName, DatabaseName>, Database> databases_;
  std::map<ServiceName, LogPosition> acknowledged_;
  std::map<ServiceName, std::uint64_t> shareInputsVersion_;
  Instant lastContactOfLostNodes_{};
};

}  // namespace tamarindshift

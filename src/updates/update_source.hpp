// What an update server needs to know of its source besides the tables: leases, log positions and database reports.
#pragma once

#include <optional>
#include <vector>

#include "base/time.hpp"
#include "updates/update_messages.hpp"

namespace tamarindshift {

/// Where updates come from: a replica itself, or a node that follows replicas and passes their updates on.
class UpdateSource {
 public:
  virtual ~UpdateSource() = default;
  /// The end of the lease under which a topic may be acted on; no value if there is no lease now.
  virtual std::optional<Instant> leaseUntil(const Topic& topic) = 0;
  /// Whether the source from which this node gets the topic still replies.
  virtual bool sourceResponsive(const Topic&) { return true; }
  /// What the databases of a service last reported in heartbeats.
  virtual std::vector<DatabaseReport> databaseReports(const Topic& topic) = 0;
  /// Whether this is a replica of the control plane.
  virtual bool isReplica() const { return false; }
  /// Position in the replicated log up to which the topic is known.
  virtual std::uint64_t position(const Topic& topic) = 0;
};

}  // namespace tamarindshift

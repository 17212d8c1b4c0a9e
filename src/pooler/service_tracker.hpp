/// A pooler's own record of a service, kept from one update of the control plane to the next.
#pragma once

#include <set>

#include "control/ration.hpp"
#include "pooler/primary_position_history.hpp"

namespace tamarindshift {

struct ServiceTracker {
  /// The newest epoch received.
  Epoch observedEpoch;
  /// The newest epoch for which no work of an earlier epoch runs any more; this is what is reported.
  Epoch confirmedEpoch;
  /// Of the observed epoch.
  DatabaseName primary;
  /// Until then transactions of the previous epoch may send statements, after a planned change of primary.
  Instant finishUntil{};
  /// Until then statements of the previous epoch that are running may end, after a planned change of primary.
  Instant runningUntil{};
  /// The end of the last lease that was received with the observed epoch, and with the one before. The control plane waits no
  /// longer than that for work of an epoch to end.
  Instant leaseUntil{};
  Instant previousLeaseUntil{};
  /// When a lease was last seen to be valid.
  Instant lastLeasedAt{};
  /// Suspected and strained databases as last included in a requested report.
  std::set<DatabaseName> suspects;
  std::set<DatabaseName> strained;
  /// The load that is reported: per database and precedence, connections in units of 1 / demandUnit.
  std::map<DatabaseName, DemandByOrder> demands;
  PrimaryPositionHistory primaryPositions;
  /// When a connection was last requested.
  Instant lastWorkAt{};
  /// Connections in use, as a peak that decays with each report.
  double connectionDemand = 0;
  /// The mark of the newest update with whose limits the held connections comply.
  std::uint64_t appliedMark = 0;
  /// The highest log position of a commit that the pooler has seen succeed.
  LogPosition acknowledgedPosition;
};

}  // namespace tamarindshift

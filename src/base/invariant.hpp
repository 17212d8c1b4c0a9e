#pragma once

#include <cstddef>
#include <string_view>

namespace tamarindshift {

/// Promises that the programs check while they run.
///
/// Each stands where the promise would be broken, apart from the code that is meant to keep it, and is looked at from
/// what is known there. A violation is a defect of this program, whatever the network, the disks or the callers do.
enum class Invariant : std::size_t {
  /// A statement of a client goes to a database only under a current lease of its service.
  workUnderLease,
  /// Work for a primary goes only to the primary of the epoch that the node follows, or finishes a planned change.
  workInEpoch,
  /// A write or COMMIT that may have run is never sent again.
  writeSentOnce,
  /// A kept write is reported as done only under a lease and in the epoch it was sent in.
  acknowledgedUnderLease,
  /// A database connection carries the statements of the one session that holds it.
  connectionHeldOnce,
  /// No new work goes to a database longer than the drain time after its drain was seen.
  drainedLeftAlone,
  /// A statement ends within its bound, so nothing is held to the client's deadline.
  answeredInTime,
  /// What nodes hold of a branch, granted and reserved, never sums past it.
  sharesWithinBranch,
  /// The configuration that is followed never goes back to an older version.
  planNeverGoesBack,
  /// A lease never ends later than its duration after the question that it answers.
  leaseFromQuestion,
  /// An acknowledged configuration is green here, at its version or a later one.
  acknowledgedIsGreen,
  /// The duty epoch that calls to the platform carry never falls.
  dutyEpochNeverFalls,
  /// Only a member of a primary component with a proof answers with the newest configuration.
  readUnderProof,
};

inline constexpr std::size_t invariantCount = static_cast<std::size_t>(Invariant::readUnderProof) + 1;

/// Begins the log line of a violation, so that logs and test worlds can be searched for it.
inline constexpr std::string_view invariantViolated = "invariant violated: ";

/// The name of an invariant in logs, counters and metrics.
std::string_view invariantName(Invariant invariant);

}  // namespace tamarindshift

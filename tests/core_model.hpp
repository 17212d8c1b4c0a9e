#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tamarindshift::testing {

/// A small model of the core for exhaustive search: three members and one newcomer, two orders with the same version, a
/// join and a leave. Its steps are named after the functions of `src/engine`, `src/group` and `src/control` that they
/// model; messages within a view are ordered, so a step is one delivery, one crash or one change of view.
///
/// Not modelled: attempts within one primary index other than by the view that made them, heartbeats and timing (any set
/// of running members may form a view at any moment), discarding of white actions.
class CoreModel {
 public:
  /// Rules that can be disabled to see that the search detects it.
  struct Rules {
    bool majorityOfGroup = true;            ///< ReplicationEngine::isQuorum, persistent members
    bool majorityOfLastPrimary = true;      ///< ReplicationEngine::isQuorum, dynamic linear voting
    bool vulnerableBlocks = true;           ///< ReplicationEngine::isQuorum, vulnerable members
    bool syncBeforeAcknowledgement = true;  ///< ReplicationEngine::received
    bool confirmationBeforeServing = true;  ///< SequencedGroup::viewConfirmedAt
    bool spareBeforeLeave = true;           ///< MemberReplacement::canSpare
    bool digestOfVersion = true;            ///< PlanVersionHistory::verdict
  };

  /// Bounds on one path.
  struct Budget {
    int views = 4;
    int crashes = 2;
    int disksLost = 1;
    /// Whether the newcomer starts at the address of the member that lost its disk, or at another one.
    bool sameAddress = false;
  };

  struct Result {
    std::size_t states = 0;
    /// The steps that lead to a violated invariant, with the invariant as the last one.
    std::optional<std::vector<std::string>> violation;
  };

  /// Visits every reachable state, breadth first, and stops at the first violation.
  static Result explore(const Rules& rules, const Budget& budget);
};

}  // namespace tamarindshift::testing

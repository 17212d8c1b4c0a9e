#pragma once

#include <map>

#include "base/journal.hpp"
#include "engine/replication_engine.hpp"

namespace tamarindshift {

/// Decides when a member of the group may go for good, so that a second loss right after a repair costs nothing.
///
/// Invariant: a member leaves the group only by an action that is green in a primary component whose other members
/// alone number 2 x losses + 1. Everything acknowledged is then synced on all of them, and a majority of them
/// survives `losses` more losses.
class MemberReplacement {
 public:
  /// `losses`: machines that may be lost at once; 0 lets nobody go. `away`: how long a member must have been absent.
  MemberReplacement(Clock& clock, Journal& journal, ReplicationEngine& engine, std::size_t losses, Duration away)
      : clock_(clock), journal_(journal), engine_(engine), losses_(losses), away_(away) {}

  /// Lets members go that are absent and were replaced. To be called often at the leader.
  void review();

  /// Whether the group keeps its promise without this member, present or not.
  static bool spare(const ReplicationEngine& engine, const ServerId& member, std::size_t losses);

  /// Whether losses + 1 others, all in the primary component, hold all that this member has acknowledged.
  static bool othersHoldAll(const ReplicationEngine& engine, const ServerId& member, std::size_t losses);

 private:
  static std::size_t presentWithout(const ReplicationEngine& engine, const ServerId& member);

  Clock& clock_;
  Journal& journal_;
  ReplicationEngine& engine_;
  std::size_t losses_;
  Duration away_;
  std::map<ServerId, Instant> awaySince_;
};

}  // namespace tamarindshift

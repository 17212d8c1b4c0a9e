#pragma once

#include <map>

#include "base/journal.hpp"
#include "engine/replication_engine.hpp"

namespace tamarindshift {

/// Decides when a member may be removed from the group, so that a second loss right after a repair loses nothing.
///
/// Invariant: a member leaves the group only by an action that is ordered (green) in a primary component with at least
/// 2 x losses + 1 other members. Everything acknowledged is then synced on all of them, and a majority of them survives
/// `losses` more losses.
class MemberReplacement {
 public:
  /// `losses`: machines that may be lost at once; with 0 no member is removed. `away`: how long a member must have been absent.
  MemberReplacement(Clock& clock, Journal& journal, ReplicationEngine& engine, std::size_t losses, Duration away)
      : clock_(clock), journal_(journal), engine_(engine), losses_(losses), absenceTimeout_(away) {}

  /// Requests the removal of members that are absent and were replaced. To be called at each pass of the member on duty.
  void review();

  /// Whether the group still tolerates `losses` losses without this member, which may be present or absent.
  static bool canSpare(const ReplicationEngine& engine, const ServerId& member, std::size_t losses);

  /// Whether at least losses + 1 other members of the primary component hold everything that this member has acknowledged.
  static bool othersHoldAll(const ReplicationEngine& engine, const ServerId& member, std::size_t losses);

 private:
  static std::size_t countPresentWithout(const ReplicationEngine& engine, const ServerId& member);

  Clock& clock_;
  Journal& journal_;
  ReplicationEngine& engine_;
  std::size_t losses_;
  Duration absenceTimeout_;
  std::map<ServerId, Instant> absentSince_;
};

}  // namespace tamarindshift

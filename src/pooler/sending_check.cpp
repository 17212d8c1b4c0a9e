#include "pooler/sending_check.hpp"

namespace tamarindshift {

void checkSending(Journal& journal, const SendingFacts& facts, Duration drainTime) {
  const auto& place = facts.place;
  journal.check(Invariant::connectionHeldOnce, facts.heldBySession, place);
  if (!facts.clientWork) return;
  if (facts.keepsSomething) journal.check(Invariant::writeSentOnce, !facts.mayHaveRunBefore, place);
  journal.check(Invariant::workUnderLease, facts.leased, place);
  if (facts.asPrimary) journal.check(Invariant::workInEpoch, facts.inEpoch, place);
  if (facts.begins && facts.drainedFor) journal.check(Invariant::drainedLeftAlone, *facts.drainedFor <= drainTime, place);
}

}  // namespace tamarindshift

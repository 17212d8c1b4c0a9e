#include "pooler/sending_check.hpp"

namespace tamarindshift {

void checkSending(Journal& journal, const SendingFacts& facts, Duration drainTime) {
  const auto& context = facts.context;
  journal.check(Invariant::connectionHeldOnce, facts.heldBySession, context);
  if (!facts.clientWork) return;
  if (facts.makesDurable) journal.check(Invariant::writeSentOnce, !facts.mayHaveRunBefore, context);
  journal.check(Invariant::workUnderLease, facts.leased, context);
  if (facts.asPrimary) journal.check(Invariant::workInEpoch, facts.inEpoch, context);
  if (facts.begins && facts.drainedFor) journal.check(Invariant::drainedLeftAlone, *facts.drainedFor <= drainTime, context);
}

}  // namespace tamarindshift

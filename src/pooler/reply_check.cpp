#include "pooler/reply_check.hpp"

namespace tamarindshift {

namespace {

/// Allowance for late timers, on top of a statement's deadline.
constexpr Duration replySlack = 500ms;

}  // namespace

void checkAcknowledgement(Journal& journal, const AcknowledgementFacts& facts) {
  bool held = !facts.makesDurable || (facts.leased && facts.inEpoch);
  journal.check(Invariant::acknowledgedUnderLease, held, facts.context);
}

void checkAnsweredInTime(Journal& journal, const StatementTimes& times, const std::function<std::string()>& context) {
  if (times.deadline == Instant::max()) return;
  bool inTime = times.endedAt <= times.deadline + replySlack || times.stalled;
  journal.check(Invariant::answeredInTime, inTime, [&] {
    return context() + " was answered after " + std::to_string(milliseconds(times.endedAt - times.arrivedAt).count()) + " ms";
  });
}

}  // namespace tamarindshift

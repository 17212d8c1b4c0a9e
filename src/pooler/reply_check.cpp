#include "pooler/reply_check.hpp"

namespace tamarindshift {

namespace {

/// How late timers may be before an answer counts as late.
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
    return context() + " was held for " + std::to_string(milliseconds(times.endedAt - times.arrivedAt).count()) + " ms";
  });
}

}  // namespace tamarindshift

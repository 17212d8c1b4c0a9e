#include "pooler/answer_check.hpp"

namespace tamarindshift {

namespace {

/// How late timers may be before an answer counts as late.
constexpr Duration answerSlack = 500ms;

}  // namespace

void checkAcknowledgement(Journal& journal, const AcknowledgementFacts& facts) {
  bool held = !facts.keepsSomething || (facts.leased && facts.inEpoch);
  journal.check(Invariant::acknowledgedUnderLease, held, facts.place);
}

void checkAnsweredInTime(Journal& journal, const AnswerTimes& times, const std::function<std::string()>& place) {
  if (times.endsBy == Instant::max()) return;
  bool inTime = times.endedAt <= times.endsBy + answerSlack || times.stalled;
  journal.check(Invariant::answeredInTime, inTime, [&] {
    return place() + " was held for " + std::to_string(milliseconds(times.endedAt - times.arrivedAt).count()) + " ms";
  });
}

}  // namespace tamarindshift

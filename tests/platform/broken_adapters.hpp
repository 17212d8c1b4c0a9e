#pragma once

#include "tests/platform/adapter_wraps.hpp"

namespace tamarindshift::testing {

using BackEndRun = Task<BackEndReply> (*)(BackEndConnection& own, Statement statement, std::optional<LogPosition> after, Instant deadline);

// adapters that each break a rule; the checkers must speak
AdapterWraps runsOtherwise(BackEndRun run);
AdapterWraps sendsToAnotherService();
AdapterWraps checksNoLease(Clock& clock);
AdapterWraps ignoresLeaves();
AdapterWraps keepsFirstConfiguration();
AdapterWraps acknowledgesAnything();
AdapterWraps promotesTheEmptiest();
AdapterWraps lowersItsFence();
AdapterWraps keepsNothing(Clock& clock);

}  // namespace tamarindshift::testing

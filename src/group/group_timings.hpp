#pragma once

#include "base/time.hpp"

namespace tamarindshift {

struct GroupTimings {
  Duration heartbeatInterval = 100ms;
  /// Silence after which a peer counts as unreachable.
  Duration suspicionTimeout = 500ms;
  /// How long a wish for a new view must last before the view is proposed; SequencedGroup takes multiples of it.
  Duration settleDuration = 200ms;
  /// How long the coordinator of a view change waits for the replies of the members.
  Duration flushTimeout = 400ms;
};

}  // namespace tamarindshift

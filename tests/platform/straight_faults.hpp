#pragma once

namespace tamarindshift::testing {

// what a straight pooler does wrong, per thousand statements
struct StraightFaults {
  unsigned changesText = 0;
  unsigned sendsTwice = 0;
  unsigned forgetsValues = 0;
  unsigned otherRows = 0;
  unsigned readsReplicas = 0;
  unsigned refusesKept = 0;
};

}  // namespace tamarindshift::testing

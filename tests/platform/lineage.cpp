#include "tests/platform/lineage.hpp"

#include <algorithm>

namespace tamarindshift::testing {

bool Lineage::cutBack(const std::string& service, const WirePosition& position) const {
  return std::any_of(terms_.begin(), terms_.end(), [&](const auto& start) {
    if (start.service != service || start.term <= position.term) return false;
    bool parted = start.keptTerm && *start.keptTerm < position.term;
    return parted || start.number < position.number;
  });
}

}  // namespace tamarindshift::testing

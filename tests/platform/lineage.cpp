#include "tests/platform/lineage.hpp"

#include <algorithm>

namespace tamarindshift::testing {

bool Lineage::cutBack(const std::string& service, const WirePosition& position) const {
  return std::any_of(terms_.begin(), terms_.end(), [&](const auto& start) {
    return start.service == service && start.term > position.term && start.number < position.number;
  });
}

}  // namespace tamarindshift::testing

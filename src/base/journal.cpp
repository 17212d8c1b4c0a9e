#include "base/journal.hpp"

#include <numeric>

namespace tamarindshift {

void Journal::violated(Invariant invariant, InvariantCount& own, const std::string& details) {
  if (++own.violated > mostLines) return;
  tellViolation(std::string{invariantViolated} + std::string{invariantName(invariant)} + ": " + details);
}

std::uint64_t Journal::violations() const {
  return std::accumulate(invariants_.begin(), invariants_.end(), std::uint64_t{0}, [](std::uint64_t sum, const InvariantCount& each) {
    return sum + each.violated;
  });
}

}  // namespace tamarindshift

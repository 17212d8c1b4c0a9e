#pragma once

#include "simulated/simulated_journal.hpp"

namespace tamarindshift {

/// A journal for one test, with the lines that it logged.
struct JournalFixture {
  std::vector<std::string> lines;
  SimulatedJournal journal{"node", [this](const std::string& text) {
                             lines.push_back(text);
                           }};

  /// Removes the violations since the last call, which would otherwise fail the test case, and returns their number.
  std::size_t violations() { return SimulatedJournal::takeViolations().size(); }
  std::uint64_t violated(Invariant invariant) const { return journal.invariant(invariant).violated; }
  std::uint64_t checked(Invariant invariant) const { return journal.invariant(invariant).checked; }
};

}  // namespace tamarindshift

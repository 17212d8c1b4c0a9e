#pragma once

#include "simulated/simulated_journal.hpp"

namespace tamarindshift {

/// A journal of its own for a check, with the lines it told.
struct JournalFixture {
  std::vector<std::string> lines;
  SimulatedJournal journal{"node", [this](const std::string& text) {
                             lines.push_back(text);
                           }};

  /// Takes back the violations since the last call, which would fail the case otherwise, and says how many they were.
  std::size_t violations() { return SimulatedJournal::takeViolations().size(); }
  std::uint64_t violated(Invariant invariant) const { return journal.invariant(invariant).violated; }
  std::uint64_t checked(Invariant invariant) const { return journal.invariant(invariant).checked; }
};

}  // namespace tamarindshift

#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "base/invariant.hpp"

namespace tamarindshift {

/// Log lines for changes of state, counters for everything else, and the invariants that are checked at run time.
class Journal {
 public:
  /// How often an invariant was checked, and how often it did not hold.
  struct InvariantCount {
    std::uint64_t checked = 0;
    std::uint64_t violated = 0;
  };

  virtual ~Journal() = default;
  virtual void line(const std::string& text) = 0;
  void count(const std::string& name, std::uint64_t amount = 1) { counters_[name] += amount; }
  const std::map<std::string, std::uint64_t>& counters() const { return counters_; }

  /// Counts a check and returns whether it held. A violation is counted and told in a line, with `explain` asked for
  /// the details only then.
  bool check(Invariant invariant, bool held, const std::function<std::string()>& explain) {
    auto& own = invariants_[static_cast<std::size_t>(invariant)];
    ++own.checked;
    if (!held) violated(invariant, own, explain());
    return held;
  }
  const InvariantCount& invariant(Invariant invariant) const { return invariants_[static_cast<std::size_t>(invariant)]; }
  /// Violations of all invariants together.
  std::uint64_t violations() const;

 protected:
  virtual void tellViolation(const std::string& text) { line(text); }

 private:
  /// Lines told for each invariant; later violations are only counted.
  static constexpr std::uint64_t mostLines = 20;

  void violated(Invariant invariant, InvariantCount& own, const std::string& details);

  std::map<std::string, std::uint64_t> counters_;
  std::array<InvariantCount, invariantCount> invariants_{};
};

}  // namespace tamarindshift

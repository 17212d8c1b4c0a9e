#pragma once

#include "tests/platform/broken_rule.hpp"
#include "tests/platform/history_index.hpp"

namespace tamarindshift::testing {

// DRAIN, RECOVER and what LOST says of planned stops
class OrderChecks {
 public:
  OrderChecks(const PlatformHistory& history, const HistoryIndex& index, std::vector<BrokenRule>& broken)
      : history_(history), index_(index), broken_(broken) {}
  void check();

 private:
  void drained();
  void stopped();
  void recovered();
  bool lost(const PlannedStop& stop, const ClientTry& attempt, const ClientStatement& statement) const;
  void broke(const std::string& rule, const std::string& text) { broken_.push_back(BrokenRule{rule, text}); }

  const PlatformHistory& history_;
  const HistoryIndex& index_;
  std::vector<BrokenRule>& broken_;
};

}  // namespace tamarindshift::testing

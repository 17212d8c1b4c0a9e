#pragma once

#include <functional>

#include "tests/platform/broken_rule.hpp"
#include "tests/platform/history_index.hpp"

namespace tamarindshift::testing {

// ROUTE, CONFIG and what LOST says of configurations
class ConfigurationChecks {
 public:
  ConfigurationChecks(const PlatformHistory& history, const HistoryIndex& index, std::vector<BrokenRule>& broken)
      : history_(history), index_(index), broken_(broken) {}
  void check();

 private:
  using Allows = std::function<bool(const PlatformConfiguration&)>;
  struct Handled {
    Address node;
    Instant sentAt{};
    Instant seenAt{};
    std::string text;
    Allows allows;
  };
  std::vector<Handled> handled() const;
  void routes();
  void invalid();
  void inTime(const Handled& handled);
  void neverBack(std::vector<Handled> all);
  void readBack();
  std::uint64_t acknowledgedBy(Instant at) const;
  std::vector<std::uint64_t> revisionsAllowing(const Handled& handled) const;
  bool restartedBetween(const Address& node, Instant from, Instant until) const;
  void broke(const std::string& rule, const std::string& text) { broken_.push_back(BrokenRule{rule, text}); }

  const PlatformHistory& history_;
  const HistoryIndex& index_;
  std::vector<BrokenRule>& broken_;
};

}  // namespace tamarindshift::testing

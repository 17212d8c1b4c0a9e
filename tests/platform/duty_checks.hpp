#pragma once

#include "tests/platform/broken_rule.hpp"
#include "tests/platform/platform_history.hpp"

namespace tamarindshift::testing {

// DUTY: each call to the platform names its holder, and the fence rises whenever the holder changes
class DutyChecks {
 public:
  DutyChecks(const PlatformHistory& history, std::vector<BrokenRule>& broken) : history_(history), broken_(broken) {}
  void check();

 private:
  struct Newest {
    std::string holder;
    std::uint64_t fence = 0;
  };
  void next(const PromotionCall& call, Newest& newest);
  void broke(const PromotionCall& call, const std::string& text) {
    broken_.push_back(BrokenRule{"DUTY", "the promotion of " + call.service + "/" + call.database + " " + text});
  }

  const PlatformHistory& history_;
  std::vector<BrokenRule>& broken_;
};

}  // namespace tamarindshift::testing

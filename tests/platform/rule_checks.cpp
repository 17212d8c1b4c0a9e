#include "tests/platform/rule_checks.hpp"

#include "tests/platform/configuration_checks.hpp"
#include "tests/platform/duty_checks.hpp"
#include "tests/platform/order_checks.hpp"
#include "tests/platform/statement_checks.hpp"

namespace tamarindshift::testing {

std::vector<BrokenRule> checkRules(const PlatformHistory& history) {
  std::vector<BrokenRule> broken;
  HistoryIndex index(history);
  StatementChecks(history, index, broken).check();
  ConfigurationChecks(history, index, broken).check();
  OrderChecks(history, index, broken).check();
  DutyChecks(history, broken).check();
  return broken;
}

}  // namespace tamarindshift::testing

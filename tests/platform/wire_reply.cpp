#include "tests/platform/wire_reply.hpp"

#include <set>

namespace tamarindshift::testing {

bool promisesNothingKept(const std::string& code) {
  static const std::set<std::string> promises{"CONGESTED", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "OVERLOAD"};
  return promises.contains(code);
}

}  // namespace tamarindshift::testing

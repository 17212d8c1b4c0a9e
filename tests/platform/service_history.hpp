#pragma once

#include "tests/platform/database_run.hpp"
#include "tests/platform/leave_notice.hpp"
#include "tests/platform/term_start.hpp"

namespace tamarindshift::testing {

// what the databases of all services saw
struct ServiceHistory {
  std::vector<DatabaseRun> runs;
  std::vector<TermStart> terms;
  std::vector<LeaveNotice> leaves;
  std::map<std::string, bool> syncReplicas;
  std::uint64_t lastConnection = 0;
  std::uint64_t lastTransaction = 0;
  std::uint64_t lastStamp = 0;
  // connections that were refused because a database had as many as it takes
  std::uint64_t overloads = 0;
};

}  // namespace tamarindshift::testing

#pragma once

#include "tests/platform/client_operation.hpp"
#include "tests/platform/client_try.hpp"

namespace tamarindshift::testing {

struct ClientHistory {
  std::vector<ClientOperation> operations;
  std::vector<ClientTry> tries;
  std::size_t sessions = 0;
  // messages that came while nothing was asked, and sessions that could not be used any more
  std::vector<std::string> faults;
};

}  // namespace tamarindshift::testing

#pragma once

#include <string>

#include "base/address.hpp"
#include "base/time.hpp"

namespace tamarindshift::testing {

// a database's quiescing or Detach, as acknowledged
struct LeaveNotice {
  std::string service;
  std::string database;
  Address node;
  Instant sentAt{};
  Instant acknowledgedAt{};
  bool detach = false;
};

}  // namespace tamarindshift::testing

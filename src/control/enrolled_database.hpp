#pragma once

#include "control/plan.hpp"

namespace tamarindshift {

struct EnrolledDatabase {
  Address address;
  Zone zone;
  std::uint32_t capacity = 0;
  MSGPACK_DEFINE(address, zone, capacity)
};

using EnrolledDatabases = std::map<DatabaseName, EnrolledDatabase>;

}  // namespace tamarindshift

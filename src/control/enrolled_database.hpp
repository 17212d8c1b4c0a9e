#pragma once

#include "control/plan.hpp"

namespace tamarindshift {

/// A database that was discovered by its heartbeats and belongs to a service.
struct EnrolledDatabase {
  Address address;
  Zone zone;
  /// Connections that the database accepts.
  std::uint32_t capacity = 0;
  MSGPACK_DEFINE(address, zone, capacity)
};

using EnrolledDatabases = std::map<DatabaseName, EnrolledDatabase>;

}  // namespace tamarindshift

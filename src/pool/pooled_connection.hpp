#pragma once

#include "pool/database_link.hpp"

namespace tamarindshift {

struct PooledConnection {
  ServiceName service;
  DatabaseName database;
  BranchName branch;
  Epoch epoch;
  std::unique_ptr<DatabaseConnection> link;
  bool running = false;
  bool doomed = false;
};

}  // namespace tamarindshift

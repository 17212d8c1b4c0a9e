#pragma once

#include "proxy/database_link.hpp"

namespace tamarindshift {

struct Session;

struct PooledConnection {
  ServiceName service;
  DatabaseName database;
  Address address;
  BranchName branch;
  KindName kind;
  Epoch epoch;
  std::unique_ptr<DatabaseConnection> link;
  std::weak_ptr<Session> pinnedBy;
  std::optional<Instant> misfitSince;
  bool running = false;
  bool doomed = false;
};

}  // namespace tamarindshift

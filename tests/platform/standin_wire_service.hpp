#pragma once

#include <functional>
#include <map>
#include <vector>

#include "tests/platform/database_fabric.hpp"
#include "tests/platform/service_history.hpp"

namespace tamarindshift::testing {

class StandinWireDatabase;

// what the databases of one service know of each other, and what the platform knows of them
class StandinWireService {
 public:
  StandinWireService(std::string name, bool syncReplicas, DatabaseFabric& fabric, ServiceHistory& history);
  const std::string& name() const { return name_; }
  bool syncReplicas() const { return syncReplicas_; }
  DatabaseFabric& fabric() { return fabric_; }
  ServiceHistory& history() { return history_; }
  std::uint64_t term() const { return term_; }
  const std::string& leader() const { return leader_; }
  void found(const std::string& leader);
  void join(StandinWireDatabase& database);
  void part(StandinWireDatabase& database);
  StandinWireDatabase* find(const std::string& id) const;
  // takes effect at once; false where the database does not run
  bool promote(const std::string& id);
  // the leader of the newest term this database can reach
  StandinWireDatabase* leaderFor(const StandinWireDatabase& database) const;
  void received(const StandinWireDatabase& replica, StandinWireDatabase& leader, std::uint64_t number);

 private:
  std::string name_;
  bool syncReplicas_;
  DatabaseFabric& fabric_;
  ServiceHistory& history_;
  std::uint64_t term_ = 1;
  std::string leader_;
  std::map<std::string, StandinWireDatabase*> members_;
};

}  // namespace tamarindshift::testing

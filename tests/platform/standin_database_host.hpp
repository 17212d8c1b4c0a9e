#pragma once

#include "simulated/simulated_clock.hpp"
#include "simulated/simulated_line_link.hpp"
#include "simulated/simulated_web.hpp"
#include "tests/platform/standin_heartbeats.hpp"

namespace tamarindshift::testing {

// the machine of a database, over its lives
class StandinDatabaseHost {
 public:
  StandinDatabaseHost(World& world, SimulatedLineNetwork& lines, SimulatedWeb& web, StandinWireService& service,
                      StandinWireDatabaseSettings settings, StandinHeartbeats::Nodes nodes, StandinHeartbeatsSettings heartbeats);
  ~StandinDatabaseHost() { crash(); }
  void start();
  void crash();
  // quiescing, Detach, then another database with its log at its address
  void release(std::string nextId);
  bool running() const { return database_ != nullptr; }
  StandinWireDatabase* database() { return database_.get(); }
  SimulatedLineLink& link() { return *link_; }
  const StandinWireDatabaseSettings& settings() const { return settings_; }
  std::string host() const { return SimulatedNetwork::host(settings_.address); }
  WireTroubles troubles;
  void layTroubles();

 private:
  void replaced(const std::string& nextId);
  World& world_;
  SimulatedLineNetwork& lines_;
  SimulatedWeb& web_;
  StandinWireService& service_;
  StandinWireDatabaseSettings settings_;
  StandinHeartbeats::Nodes nodes_;
  StandinHeartbeatsSettings heartbeatSettings_;
  WireDisk disk_;
  std::unique_ptr<SimulatedClock> clock_;
  std::unique_ptr<SimulatedLineLink> link_;
  std::unique_ptr<SimulatedWebLink> webLink_;
  std::unique_ptr<StandinWireDatabase> database_;
  std::unique_ptr<StandinHeartbeats> heartbeats_;
};

}  // namespace tamarindshift::testing

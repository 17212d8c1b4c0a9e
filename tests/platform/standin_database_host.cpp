#include "tests/platform/standin_database_host.hpp"

namespace tamarindshift::testing {

StandinDatabaseHost::StandinDatabaseHost(World& world, SimulatedLineNetwork& lines, SimulatedWeb& web, StandinWireService& service,
                                         StandinWireDatabaseSettings settings, StandinHeartbeats::Nodes nodes,
                                         StandinHeartbeatsSettings heartbeats)
    : world_(world),
      lines_(lines),
      web_(web),
      service_(service),
      settings_(std::move(settings)),
      nodes_(std::move(nodes)),
      heartbeatSettings_(std::move(heartbeats)) {
  start();
}

void StandinDatabaseHost::start() {
  if (running()) return;
  clock_ = std::make_unique<SimulatedClock>(world_);
  link_ = std::make_unique<SimulatedLineLink>(lines_, *clock_, settings_.address);
  webLink_ = std::make_unique<SimulatedWebLink>(web_, *clock_, settings_.address);
  database_ = std::make_unique<StandinWireDatabase>(*clock_, service_, settings_, disk_);
  layTroubles();
  link_->dropDarkAfter(settings_.darkDropped);
  link_->listen(settings_.address, *database_);
  heartbeats_ = std::make_unique<StandinHeartbeats>(*clock_, *webLink_, world_, *database_, service_.history(), nodes_, heartbeatSettings_);
}

void StandinDatabaseHost::layTroubles() {
  if (database_) database_->troubles() = troubles;
}

void StandinDatabaseHost::crash() {
  if (!running()) return;
  disk_ = database_->disk();
  link_->kill();
  heartbeats_.reset();
  database_.reset();
  webLink_.reset();
  link_.reset();
  clock_.reset();
}

void StandinDatabaseHost::release(std::string nextId) {
  if (!running()) return;
  heartbeats_->ended = [this, nextId = std::move(nextId)] {
    world_.at(world_.now(), [this, nextId] {
      replaced(nextId);
    });
  };
  heartbeats_->quiesce();
}

void StandinDatabaseHost::replaced(const std::string& nextId) {
  crash();
  settings_.id = nextId;
  world_.at(world_.now() + 500ms, [this] {
    start();
  });
}

}  // namespace tamarindshift::testing

#include "tests/platform/soak/soak_database.hpp"

namespace tamarindshift::testing {

SoakDatabase::SoakDatabase(boost::asio::io_context& context, Clock& clock, WebLink& web, SoakFabric& fabric, StandinWireService& service,
                           StandinWireDatabaseSettings settings, StandinHeartbeats::Nodes nodes, StandinHeartbeatsSettings heartbeats)
    : context_(context),
      clock_(clock),
      web_(web),
      fabric_(fabric),
      service_(service),
      settings_(std::move(settings)),
      nodes_(std::move(nodes)),
      heartbeatSettings_(std::move(heartbeats)) {}

std::optional<std::string> SoakDatabase::start() {
  if (running()) return std::nullopt;
  database_ = std::make_unique<StandinWireDatabase>(clock_, service_, settings_, disk_);
  database_->troubles() = troubles_;
  door_ = std::make_unique<TcpLineDoor>(context_, clock_, settings_.address, *database_);
  heartbeats_ =
      std::make_unique<StandinHeartbeats>(clock_, web_, fabric_.chance(), *database_, service_.history(), nodes_, heartbeatSettings_);
  return door_->open();
}

void SoakDatabase::crash() {
  if (!running()) return;
  disk_ = database_->disk();
  door_.reset();
  heartbeats_.reset();
  database_.reset();
}

void SoakDatabase::trouble(WireTroubles troubles) {
  troubles_ = troubles;
  if (running()) database_->troubles() = troubles_;
}

void SoakDatabase::release(std::string nextId) {
  if (!running()) return;
  heartbeats_->ended = [this, nextId = std::move(nextId)] {
    clock_.after(Duration::zero(), [this, nextId] {
      replaced(nextId);
    });
  };
  heartbeats_->quiesce();
}

void SoakDatabase::replaced(const std::string& nextId) {
  crash();
  settings_.id = nextId;
  clock_.after(500ms, [this] {
    start();
  });
}

}  // namespace tamarindshift::testing

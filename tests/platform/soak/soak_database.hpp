#pragma once

#include "real/tcp_line_door.hpp"
#include "tests/platform/standin_heartbeats.hpp"
#include "tests/platform/soak/soak_fabric.hpp"

namespace tamarindshift::testing {

/// A database of a soak over its lives, behind a real socket.
class SoakDatabase {
 public:
  SoakDatabase(boost::asio::io_context& context, Clock& clock, WebLink& web, SoakFabric& fabric, StandinWireService& service,
               StandinWireDatabaseSettings settings, StandinHeartbeats::Nodes nodes, StandinHeartbeatsSettings heartbeats);
  ~SoakDatabase() { crash(); }
  /// A reason if its address can't be had.
  std::optional<std::string> start();
  void crash();
  /// Quiescing, Detach, then another database with its log at its address.
  void release(std::string nextId);
  bool running() const { return database_ != nullptr; }
  bool leads() const { return running() && database_->leads() && service_.leader() == settings_.id; }
  const StandinWireDatabaseSettings& settings() const { return settings_; }
  /// What it does wrong, also after it has started again.
  void trouble(WireTroubles troubles);

 private:
  void replaced(const std::string& nextId);

  boost::asio::io_context& context_;
  Clock& clock_;
  WebLink& web_;
  SoakFabric& fabric_;
  StandinWireService& service_;
  StandinWireDatabaseSettings settings_;
  StandinHeartbeats::Nodes nodes_;
  StandinHeartbeatsSettings heartbeatSettings_;
  WireTroubles troubles_;
  WireDisk disk_;
  std::unique_ptr<StandinWireDatabase> database_;
  std::unique_ptr<StandinHeartbeats> heartbeats_;
  std::unique_ptr<TcpLineDoor> door_;
};

}  // namespace tamarindshift::testing

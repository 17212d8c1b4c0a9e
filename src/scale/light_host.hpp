#pragma once

#include "real/daemon.hpp"
#include "scale/light_zone.hpp"
#include "scale/quiet_journal.hpp"
#include "scale/scale_settings.hpp"

namespace tamarindshift {

// one process with the light nodes of one zone, asked like a host of hollow nodes
class LightHost : public DoorKeeper {
 public:
  LightHost(Daemon& daemon, const ScaleSettings& settings)
      : daemon_(daemon),
        settings_(settings),
        zone_(daemon.context, daemon.clock, journal_, settings.addresses, settings.first, settings.real) {}
  std::optional<std::string> start();
  Task<DoorReply> serve(DoorRequest request) override;
  void gone(ConnectionId) override {}

 private:
  Task<void> watch(std::function<bool()> reached);
  Daemon& daemon_;
  const ScaleSettings& settings_;
  QuietJournal journal_;
  LightZone zone_;
  std::optional<Instant> reachedAt_;
  std::unique_ptr<TaskScope> watching_;
};

}  // namespace tamarindshift

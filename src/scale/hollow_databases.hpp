#pragma once

#include "real/daemon.hpp"
#include "scale/quiet_journal.hpp"
#include "scale/scale_settings.hpp"

namespace tamarindshift {

// stand-in databases of many services in one process
class HollowDatabases {
 public:
  HollowDatabases(Daemon& daemon, const ScaleSettings& settings) : daemon_(daemon), settings_(settings) {}
  std::optional<std::string> start() {
    auto all = settings_.addresses.databases();
    auto each = settings_.addresses.shape.databasesPerService;
    for (auto index = settings_.first * each; index < std::min(all.size(), (settings_.first + settings_.count) * each); ++index) {
      databases_.push_back(std::make_unique<StandinDatabase>(daemon_.clock, daemon_.web, journal_, all[index], freshIncarnation() >> 10));
      if (auto fault = daemon_.serve(all[index].address, *databases_.back())) return fault;
    }
    return std::nullopt;
  }

 private:
  Daemon& daemon_;
  const ScaleSettings& settings_;
  QuietJournal journal_;
  std::vector<std::unique_ptr<StandinDatabase>> databases_;
};

}  // namespace tamarindshift

#pragma once

#include <map>

#include "tests/platform/platform_world.hpp"

namespace tamarindshift::testing {

// the events of a script by name; where `for DURATION` ends an event it is undone after that time
class PlatformEvents {
 public:
  using Words = std::vector<std::string>;
  explicit PlatformEvents(PlatformWorld& world);
  bool happen(const Words& words);

 private:
  using Event = std::function<bool(const Words&)>;
  void machines();
  void databases();
  void operators();
  void later(Duration after, std::function<void()> undo);
  std::vector<StandinDatabaseHost*> databasesNamed(const Words& words);
  bool disturb(const Words& words, std::function<void(WireTroubles&)> trouble);
  static std::optional<Duration> lasts(const Words& words);
  void crash(StandinDatabaseHost& database, std::optional<Duration> down);
  void releaseAll(std::size_t service, std::size_t number);

  PlatformWorld& world_;
  std::map<std::string, Event> events_;
};

}  // namespace tamarindshift::testing

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
  // what was looked for during the day and not found
  const std::vector<std::string>& faults() const { return faults_; }

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
  void cutDatabase(const std::string& host, const Words& others, Duration lasting);
  // the event, once the configuration at this place of the history is acknowledged; its node is called acknowledger
  void afterAcknowledgement(std::size_t place, const Words& words);
  std::vector<PlatformRoute> swap(PlatformConfiguration& configuration);

  PlatformWorld& world_;
  std::map<std::string, Event> events_;
  std::vector<std::string> faults_;
  std::size_t swaps_ = 0;
};

}  // namespace tamarindshift::testing

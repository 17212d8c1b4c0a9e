#pragma once

#include "tests/platform/platform_history.hpp"

namespace tamarindshift::testing {

// histories made by hand: a service "orders" with databases a (leading) and b, routes shop (primary),
// list (bounded staleness of 1 s) and own (in-house, 1 s)
class HistoryMaker {
 public:
  HistoryMaker();
  PlatformHistory history;

  static Instant at(Duration since) { return Instant{} + since; }
  PlatformConfiguration configuration(std::uint64_t revision) const;
  ConfigurationSent& sent(const PlatformConfiguration& configuration, Duration at, std::optional<Duration> acknowledged);
  void readBack(const PlatformConfiguration& configuration, Duration at);
  std::size_t attempt(std::size_t session, const std::string& hostName, bool transaction = false);
  // asked by the client, run by the database and answered, one millisecond each
  DatabaseRun& runs(std::size_t attempt, const std::string& text, Duration at, const std::string& database = "a");
  ClientStatement& asks(std::size_t attempt, const std::string& text, Duration at);
  DatabaseRun& runOnly(const ClientStatement& statement, Duration at, const std::string& database = "a");
  void answer(std::size_t attempt, const WireReply& reply);
  void refuse(std::size_t attempt, const std::string& code, Duration at);
  void close(std::size_t attempt, Duration at);
  // the run is a write that took this place
  void keep(DatabaseRun& run, std::uint64_t term, std::uint64_t number);
  void operation(Duration began, bool served);

 private:
  std::uint64_t ids_ = 0;
};

}  // namespace tamarindshift::testing

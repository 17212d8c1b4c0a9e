#include "base/setting_kinds.hpp"
#include "real/daemon.hpp"
#include "simulated/standin_database.hpp"

using namespace tamarindshift;

int main(int argumentCount, char** arguments) {
  StandinDatabaseSettings settings;
  std::string service;
  std::string name;
  std::set<Address> heartbeatsTo;
  std::size_t cap = settings.cap;
  Detours detours;
  Program program("standin-database", "stands in for a database in tests and trials");
  program.add(addressSetting("address", "own address", settings.address));
  program.add(textSetting("service", "service it belongs to", service, true));
  program.add(textSetting("name", "own name", name, true));
  program.add(addressSetting("platform", "address of the platform", settings.platform));
  program.add(addressesSetting("heartbeats-to", "addresses of nodes that take heartbeats", heartbeatsTo));
  program.add(numberSetting("cap", "most connections", cap, 1, 100000));
  program.add(flagSetting("primary", "starts as primary", settings.primary));
  program.add(durationSetting("work", "time a request takes", settings.work, 0ms, 60s));
  program.add(detoursSetting(detours));
  if (auto code = program.read(argumentCount, arguments)) return *code;
  settings.service = ServiceName{service};
  settings.name = DatabaseName{name};
  settings.heartbeatsTo.assign(heartbeatsTo.begin(), heartbeatsTo.end());
  settings.cap = static_cast<std::uint32_t>(cap);

  Daemon daemon("standin-database");
  daemon.web.take(detours);
  StandinDatabase database(daemon.clock, daemon.web, daemon.journal, settings, freshIncarnation() >> 10);
  if (auto fault = daemon.serve(settings.address, database)) return complain("standin-database", *fault);
  bool stopping = false;
  return daemon.run(
      [&] {
        stopping = true;
      },
      [] {},
      [&]() -> std::optional<int> {
        return stopping ? std::optional{0} : std::nullopt;
      });
}

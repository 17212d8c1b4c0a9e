#include "base/timing_settings.hpp"
#include "control/operator_api.hpp"
#include "proxy/json_database_control.hpp"
#include "real/daemon.hpp"
#include "real/file_store.hpp"
#include "real/tcp_link.hpp"

using namespace tamarindshift;

int main(int argumentCount, char** arguments) {
  ReplicaSettings settings;
  Address http;
  Address platform;
  Detours detours;
  std::string folder;
  Program program("replica", "orders the control actions of tamarindshift on a core machine");
  program.add(addressSetting("address", "own address towards other processes", settings.address));
  program.add(addressSetting("http", "address of the operator API", http));
  program.add(zoneSetting(settings.zone));
  program.add(seedsSetting(settings.seeds));
  program.add(textSetting("data", "data folder", folder, true));
  program.add(reread(addressSetting("platform", "address of the platform that carries out promotions", platform)));
  program.add(reread(
      numberSetting("store-length", "bytes after which the store is rewritten", settings.bounds.rewriteThresholdBytes, 65536, 1u << 30)));
  program.add(rationsSetting(settings.rations));
  program.add(detoursSetting(detours));
  program.add(timingSettings(settings.timings));
  if (auto code = program.read(argumentCount, arguments)) return *code;
  if (auto fault = settings.timings.fault()) return complain("replica", *fault);

  Daemon daemon("replica");
  daemon.web.take(detours);
  TcpLink link(daemon.context, daemon.clock, daemon.journal, settings.address, detours);
  FileStore store(daemon.clock, folder);
  JsonDatabaseControl databases(daemon.web, platform);
  ReplicaNode node(daemon.clock, link, store, databases, daemon.journal, settings, freshIncarnation());
  if (auto fault = node.start()) return complain("replica", *fault);
  OperatorApi door(node, daemon.clock);
  if (auto fault = link.listen()) return complain("replica", *fault);
  if (auto fault = daemon.serve(http, door)) return complain("replica", *fault);
  return daemon.run(
      [&] {
        node.drain();
      },
      daemon.rereads(program,
                     [&] {
                       databases.setPlatformAddress(platform);
                       node.updateSettings(settings);
                     }),
      [&]() -> std::optional<int> {
        if (node.stopped()) return 0;
        if (!node.dismissed()) return std::nullopt;
        return complain("replica", "this member was removed from the group; empty the data folder to join anew");
      });
}

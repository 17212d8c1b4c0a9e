#include "base/timing_settings.hpp"
#include "updates/agent_node.hpp"
#include "real/daemon.hpp"
#include "real/tcp_link.hpp"

using namespace tamarindshift;

int main(int argumentCount, char** arguments) {
  AgentSettings settings;
  Address http;
  Detours detours;
  Program program("agent", "keeps the link of an access machine to the control plane of tamarindshift");
  program.add(addressSetting("address", "own address towards other processes; names the machine in plans", settings.address));
  program.add(addressSetting("http", "address that databases send heartbeats and Detach to", http));
  program.add(zoneSetting(settings.zone));
  program.add(reread(seedsSetting(settings.seeds)));
  program.add(detoursSetting(detours));
  program.add(timingSettings(settings.timings));
  if (auto code = program.read(argumentCount, arguments)) return *code;
  if (auto fault = settings.timings.fault()) return complain("agent", *fault);

  Daemon daemon("agent");
  daemon.web.take(detours);
  TcpLink link(daemon.context, daemon.clock, daemon.journal, settings.address, detours);
  AgentNode node(daemon.clock, link, daemon.journal, settings, freshEntropy());
  if (auto fault = link.listen()) return complain("agent", *fault);
  if (auto fault = daemon.serve(http, node)) return complain("agent", *fault);
  return daemon.run(
      [&] {
        node.drain();
      },
      daemon.rereads(program,
                     [&] {
                       node.updateSettings(settings);
                     }),
      [&]() -> std::optional<int> {
        return node.stopped() ? std::optional{0} : std::nullopt;
      });
}

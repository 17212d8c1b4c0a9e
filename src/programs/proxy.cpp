#include "base/timing_settings.hpp"
#include "edge/session_door.hpp"
#include "real/daemon.hpp"
#include "real/tcp_link.hpp"

using namespace tamarindshift;

int main(int argumentCount, char** arguments) {
  ProxySettings settings;
  Address own;
  Address http;
  Detours detours;
  Program program("proxy", "carries the sessions of an access machine to the databases");
  program.add(addressSetting("address", "own loopback address towards the agent", own));
  program.add(addressSetting("http", "address that clients are served on", http));
  program.add(addressSetting("agent", "address of the agent on this machine", settings.agent));
  program.add(reread(numberSetting("queue", "most requests that wait in one branch", settings.maxQueued, 1, 100000)));
  program.add(reread(numberSetting("sessions", "most open sessions", settings.maxSessions, 1, 1000000)));
  program.add(reread(
      durationSetting("idle-in-transaction", "longest idle time of an open transaction", settings.idleTransactionTimeout, 100ms, 600s)));
  program.add(reread(durationSetting("idle-session", "longest idle time of a session", settings.idleSessionTimeout, 1s, 86400s)));
  program.add(detoursSetting(detours));
  program.add(timingSettings(settings.timings));
  if (auto code = program.read(argumentCount, arguments)) return *code;
  if (auto fault = settings.timings.fault()) return complain("proxy", *fault);
  settings.node = settings.agent;

  Daemon daemon("proxy");
  daemon.web.take(detours);
  TcpLink link(daemon.context, daemon.clock, daemon.journal, own, detours);
  ProxyNode node(daemon.clock, link, daemon.web, daemon.journal, settings, freshEntropy());
  SessionDoor door(node);
  if (auto fault = link.listen()) return complain("proxy", *fault);
  if (auto fault = daemon.serve(http, door)) return complain("proxy", *fault);
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

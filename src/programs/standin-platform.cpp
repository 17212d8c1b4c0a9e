#include "base/setting_kinds.hpp"
#include "real/daemon.hpp"
#include "simulated/standin_platform.hpp"

using namespace tamarindshift;

int main(int argumentCount, char** arguments) {
  Address own;
  std::string primaries;
  Detours detours;
  Program program("standin-platform", "stands in for the platform that carries out promotions");
  program.add(addressSetting("address", "own address", own));
  program.add(textSetting("primaries", "first primaries, as service=ip:port with commas between", primaries, true));
  program.add(detoursSetting(detours));
  if (auto code = program.read(argumentCount, arguments)) return *code;

  Daemon daemon("standin-platform");
  daemon.web.take(detours);
  StandinPlatform platform(daemon.clock, daemon.web, daemon.journal);
  std::istringstream stream(primaries);
  for (std::string each; std::getline(stream, each, ',');) {
    auto equals = each.find('=');
    if (equals == std::string::npos) return complain("standin-platform", "not of the form service=ip:port: " + each);
    platform.setPrimary(ServiceName{each.substr(0, equals)}, Address{each.substr(equals + 1)});
  }
  if (auto fault = daemon.serve(own, platform)) return complain("standin-platform", *fault);
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

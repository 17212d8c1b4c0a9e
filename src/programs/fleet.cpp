#include <filesystem>
#include <iostream>

#include "base/setting_kinds.hpp"
#include "runner/fleet_runner.hpp"
#include "simulated/deployment.hpp"

using namespace tamarindshift;

int main(int argumentCount, char** arguments) {
  std::string deployment = "small";
  std::string scriptFile;
  std::string folder = "fleet-run";
  std::size_t seed = 1;
  Program program("fleet", "starts a whole fleet of processes on loopback, fails parts of it by a script and judges the outcome");
  program.add(textSetting("deployment", "small, fes or croatia", deployment, false));
  program.add(textSetting("script", "file of events and expectations", scriptFile, true));
  program.add(textSetting("folder", "folder for logs and data, emptied first", folder, false));
  program.add(numberSetting("seed", "seed of the callers", seed, 1, 1000000000));
  if (auto code = program.read(argumentCount, arguments)) return *code;
  auto shape = deploymentNamed(deployment);
  if (!shape) return complain("fleet", "unknown deployment " + deployment);
  FleetScript script;
  if (!script.load(scriptFile)) return complain("fleet", script.lastReason());

  Daemon daemon("fleet");
  auto binaries = std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
  auto runner = std::make_unique<FleetRunner>(daemon, *shape, script, binaries, folder, seed);
  bool stopping = false;
  TaskScope scope;
  scope.spawn(runner->run());
  return daemon.run(
      [&] {
        stopping = true;
      },
      [] {},
      [&]() -> std::optional<int> {
        if (!runner->ended() && !stopping) return std::nullopt;
        auto faults = runner->faults();
        if (stopping) faults.push_back("stopped before the end");
        for (const auto& fault : faults) std::cout << "fault: " << fault << "\n";
        std::cout << (faults.empty() ? "1 passed, 0 failed" : "0 passed, 1 failed") << std::endl;
        scope.clear();
        runner.reset();
        return faults.empty() ? 0 : 1;
      });
}
